"""Guards against streams that go on at another software version than they began on."""

import time

import pytest

from mulberryhub.base.green import sleep as green_sleep
from mulberryhub.fleet.stream_lifetime import STREAM_LIFETIME_MS
from mulberryhub.fleet.stream_origins import APPENDS_PER_S
from tests.support.origin_routers import (
    ABSENCE_MS,
    SETTLED_MS,
    OriginWorld,
    mixed_world,
    settled_world,
)


@pytest.fixture
def world():
    return settled_world()


@pytest.fixture
def mixed():
    return mixed_world()


def test_streams_go_on_anywhere_and_store_is_not_called_while_one_version_serves(world):
    world.routers[0].begin("a", "v1")
    calls = world.marks.reads, world.marks.writes
    world.run(STREAM_LIFETIME_MS)
    for attempt_id in ("a", "never", None):
        assert world.routers[1].find(attempt_id) == "any"
    assert (world.marks.reads, world.marks.writes) == calls
    assert world.log.payloads == []
    assert world.pauses == []


def test_streams_begin_soon_after_first_start_and_restart():
    world = OriginWorld()
    world.set_upstream("u1", None)
    world.run(200)
    assert all(router.may_begin(None) for router in world.routers)
    world.kill_all()
    world.start_all()
    world.run(200)
    assert all(router.may_begin(None) for router in world.routers)
    assert world.routers[0].find("a") == "any"


def test_other_router_finds_streams_of_both_versions(mixed):
    mixed.routers[0].begin("a", "v1")
    mixed.routers[0].begin("b", "v2")
    mixed.run(200)
    assert mixed.routers[1].find("a") == ("v1",)
    assert mixed.routers[1].find("b") == ("v2",)
    for _ in range(2):
        assert mixed.routers[0].find("b") == ("v2",)


def test_stream_from_before_second_version_is_found(world):
    world.routers[0].begin("a", "v1")
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    assert world.routers[1].find("a") == ("v1",)
    assert world.routers[1].find("b") == "unknown"
    assert world.routers[1].find(None) == "unknown"


def test_stream_told_while_it_is_searched_is_found(mixed):
    mixed.routers[0].begin("a", "v1")
    assert mixed.routers[1].find("a") == ("v1",)
    assert sum(mixed.pauses) <= 0.3


def test_search_for_unknown_stream_ends_in_300_ms(mixed):
    assert mixed.routers[1].find("never") == "unknown"
    assert sum(mixed.pauses) <= 0.3


def test_upstream_restarted_under_its_id_with_other_version_makes_service_mixed(world):
    world.routers[0].begin("a", "v1")
    world.set_upstream("u1", "v2")
    world.run(SETTLED_MS)
    assert world.routers[1].find("a") == ("v1",)
    assert world.routers[1].find("never") == "unknown"
    assert not world.routers[0].may_begin("v1")


def test_missing_version_differs_from_stated_one(world):
    world.set_upstream("u2", None)
    world.run(SETTLED_MS)
    world.routers[0].begin("a", None)
    world.run(200)
    assert world.routers[1].find("a") == (None,)
    assert world.routers[1].find("b") == "unknown"


def test_three_versions_are_told_apart(mixed):
    mixed.set_upstream("u3", "v3")
    mixed.run(SETTLED_MS)
    for version in ("v1", "v2", "v3"):
        mixed.routers[0].begin(version, version)
    mixed.run(200)
    for version in ("v1", "v2", "v3"):
        assert mixed.routers[1].find(version) == (version,)


def test_take_up_after_all_routers_died_finds_version(mixed):
    mixed.routers[0].begin("a", "v1")
    mixed.run(200)
    mixed.kill_all()
    mixed.run(1_000)
    mixed.start_all()
    mixed.run(300)
    assert mixed.routers[1].find("a") == ("v1",)


def test_take_up_after_all_routers_died_and_version_left_does_not_go_on_at_other(world):
    world.routers[0].begin("a", "v1")
    world.kill_all()
    world.remove_upstream("u1")
    world.set_upstream("u2", "v2")
    world.run(2_000)
    world.start_all()
    world.run(SETTLED_MS)
    assert world.routers[1].may_begin("v2")
    assert world.routers[1].find("a") == "unknown"
    world.run(ABSENCE_MS + 1_000)
    assert world.routers[1].find("b") == "any"


def test_stream_of_last_moment_before_all_routers_died_is_refused(mixed):
    mixed.routers[0].begin("a", "v2")
    mixed.kill_all()
    mixed.start_all()
    mixed.run(1_000)
    assert mixed.routers[1].find("a") == "unknown"


def test_take_up_in_store_outage_is_refused_unless_router_began_the_stream(world):
    world.routers[0].begin("a", "v1")
    world.set_store_available(False)
    world.run(3_000)
    assert world.routers[0].find("a") == ("v1",)
    assert world.routers[1].find("a") == "unknown"
    world.set_store_available(True)
    world.run(2_000)
    assert world.routers[1].find("a") == "any"


def test_cut_off_router_does_not_let_streams_go_on_anywhere(world):
    cut, other = world.routers
    cut.is_cut = True
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    other.begin("a", "v2")
    world.log.is_unavailable = True
    assert cut.find("a") == "unknown"


def test_router_that_missed_a_version_learns_of_it_from_the_marks(world):
    missing, other = world.routers
    missing.is_cut = True
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    other.begin("a", "v2")
    world.remove_upstream("u2")
    world.run(1_000)
    missing.fleet_state.apply(world.upstreams_by_id["u1"])
    missing.next_record = len(world.records)
    missing.is_cut = False
    world.run(1_000)
    assert missing.versions_in_view() == {"v1"}
    assert missing.find("a") == ("v2",)
    assert missing.find("b") == "unknown"


def test_router_frozen_through_a_change_relies_on_nothing_it_knew(world):
    frozen, other = world.routers
    frozen.is_running = False
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    other.begin("a", "v2")
    world.remove_upstream("u2")
    frozen.is_running = True
    frozen.next_record = len(world.records)
    frozen.read_upstreams()
    assert frozen.versions_in_view() == {"v1"}
    assert frozen.find("b") == "unknown"
    assert frozen.find("a") == ("v2",)
    world.run(1_000)
    assert frozen.find("b") == "unknown"


def test_streams_that_a_revert_lost_are_told_again(mixed):
    mixed.routers[0].begin("a", "v1")
    mixed.run(200)
    mixed.log.revert(lost_count=10)
    mixed.marks.revert(lost_count=0)
    mixed.routers[0].begin("b", "v1")
    mixed.run(3_000)
    mixed.routers[1].start()
    mixed.run(1_000)
    assert mixed.routers[1].find("a") == ("v1",)


def test_expired_origins_are_refused(mixed):
    mixed.routers[0].begin("a", "v1")
    mixed.run(200)
    mixed.log.trim()
    assert mixed.routers[1].find("a") == "unknown"


def test_unreadable_origins_are_skipped(mixed):
    mixed.log.append("stream-origins", [b"\xc1", b"", b"\x93\x01\x02\x03"])
    mixed.routers[0].begin("a", "v1")
    mixed.run(200)
    assert mixed.routers[1].find("a") == ("v1",)


def test_attempt_id_used_for_two_versions_is_refused(mixed):
    mixed.routers[0].begin("a", "v1")
    mixed.run(200)
    mixed.routers[1].begin("a", "v2")
    mixed.run(200)
    mixed.routers[1].begin("b", "v1")
    mixed.routers[1].begin("b", "v2")
    mixed.routers[1].start()
    mixed.run(500)
    assert mixed.routers[1].find("a") == "unknown"
    assert mixed.routers[0].find("b") == "unknown"


def test_two_hundred_routers_append_within_their_rate():
    world = OriginWorld(router_count=20, member_count=200)
    world.set_upstream("u1", "v1")
    world.set_upstream("u2", "v2")
    world.run(2 * SETTLED_MS)
    appends = []
    append = world.log.append
    world.log.append = lambda *args: appends.append(world.clock.now()) or append(*args)
    duration = 10_000
    for number in range(duration // 100):
        for index, router in enumerate(world.routers):
            router.begin(f"{index}-{number}", "v1")
        world.run(100)
    share = len(world.routers) / 200
    assert len(appends) <= APPENDS_PER_S * share * (duration / 1_000 + 2)
    assert world.routers[1].find("0-0") == ("v1",)


def test_search_ends_in_time_while_the_store_hangs(mixed):
    mixed.log.read = lambda *args: green_sleep(5)
    started_at = time.monotonic()
    assert mixed.routers[1].find("a") == "unknown"
    assert time.monotonic() - started_at < 1
