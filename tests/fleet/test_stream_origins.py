"""Guards against streams that go on at another software version than they began on."""

import pytest

from mulberryhub.fleet.software_marks import SoftwareMark
from mulberryhub.fleet.software_versions import (
    SERVING_AFTER_REMOVAL_MS,
    SETTLING_TIME_MS,
)
from mulberryhub.fleet.sources import MAX_CURRENT_AGE_MS
from mulberryhub.fleet.stream_lifetime import STREAM_LIFETIME_MS
from mulberryhub.fleet.stream_origins import APPENDS_PER_S
from tests.support.origin_routers import SERVICE, OriginWorld

ABSENCE_MS = STREAM_LIFETIME_MS + SERVING_AFTER_REMOVAL_MS
SETTLED_MS = SETTLING_TIME_MS + 1_500  # with the reading of all routers


@pytest.fixture
def world():
    """Two routers that have served one version for a while."""
    world = OriginWorld()
    world.set_upstream("u1", "v1")
    world.run(2_000)
    return world


@pytest.fixture
def mixed(world):
    """Two routers that serve the versions v1 and v2."""
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    return world


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


def test_new_version_is_not_begun_before_all_routers_know_it(world):
    world.set_upstream("u2", "v2")
    world.run(MAX_CURRENT_AGE_MS)
    assert not any(router.may_begin("v2") for router in world.routers)
    assert all(router.may_begin("v1") for router in world.routers)
    world.run(2_000)
    assert all(router.may_begin("v2") for router in world.routers)
    assert world.routers[1].find("a") == "unknown"


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


def test_version_that_comes_back_is_not_begun_unmarked(world):
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    world.remove_upstream("u1")
    world.run(2 * ABSENCE_MS + 3_000)
    assert world.marks.marks_by_key().keys() == {(SERVICE, "v2")}
    assert world.routers[1].find("b") == "any"
    world.set_upstream("u1", "v1")
    world.run(MAX_CURRENT_AGE_MS)
    assert not world.routers[0].may_begin("v1")
    world.run(2_000)
    assert world.routers[0].may_begin("v1")
    assert (SERVICE, "v1") in world.marks.marks_by_key()


def test_version_back_within_a_lifetime_keeps_service_mixed(mixed):
    mixed.remove_upstream("u1")
    mixed.run(ABSENCE_MS - 2_000)
    mixed.set_upstream("u1", "v1")
    mixed.run(4_000)
    mixed.remove_upstream("u1")
    mixed.run(ABSENCE_MS - 2_000)
    assert mixed.routers[1].find("b") == "unknown"


def test_closing_mark_is_opened_before_version_is_begun_again(mixed):
    mixed.remove_upstream("u1")
    mixed.run(ABSENCE_MS + 2_000)
    assert mixed.marks.marks_by_key()[SERVICE, "v1"].is_closing
    mixed.set_upstream("u1", "v1")
    mixed.run(SETTLED_MS)
    assert mixed.routers[1].may_begin("v1")
    assert not mixed.marks.marks_by_key()[SERVICE, "v1"].is_closing


def test_late_removal_does_not_remove_mark_that_was_opened_again(mixed):
    mixed.remove_upstream("u1")
    mixed.run(2 * ABSENCE_MS)
    assert mixed.marks.marks_by_key()[SERVICE, "v1"].is_closing
    mixed.marks.is_late = True
    mixed.run(1_800)
    mixed.marks.is_late = False
    assert mixed.marks.late
    mixed.set_upstream("u1", "v1")
    mixed.run(SETTLED_MS)
    assert mixed.routers[1].may_begin("v1")
    mixed.marks.run_late()
    assert (SERVICE, "v1") in mixed.marks.marks_by_key()


def test_two_routers_mark_different_versions_at_once(world):
    world.marks.is_late = True
    for version in ("v2", "v3"):
        with pytest.raises(Exception, match="no response"):
            world.marks.put([SoftwareMark(SERVICE, version)])
    world.marks.is_late = False
    world.marks.run_late()
    versions = {version for _, version in world.marks.marks_by_key()}
    assert versions == {"v1", "v2", "v3"}


def test_version_that_appears_in_store_outage_waits_and_old_one_serves(world):
    world.set_upstream("u2", "v2")
    world.run(700)
    world.set_store_available(False)
    world.run(8_000)
    assert all(router.may_begin("v1") for router in world.routers)
    assert not any(router.may_begin("v2") for router in world.routers)
    assert world.routers[1].find("a") == "unknown"
    world.set_store_available(True)
    world.run(SETTLED_MS)
    assert all(router.may_begin("v2") for router in world.routers)


def test_take_up_in_store_outage_is_refused_unless_router_began_the_stream(world):
    world.routers[0].begin("a", "v1")
    world.set_store_available(False)
    world.run(3_000)
    assert world.routers[0].find("a") == ("v1",)
    assert world.routers[1].find("a") == "unknown"
    world.set_store_available(True)
    world.run(2_000)
    assert world.routers[1].find("a") == "any"


def test_router_started_while_marks_cannot_be_read_begins_streams_of_one_version(world):
    router = world.routers[1]
    world.kill_all()
    router.start()
    router.read_upstreams()
    world.marks.is_unavailable = True
    router.tick()
    assert router.may_begin("v1")
    assert not router.may_begin("v2")
    assert router.find("a") == "unknown"


def test_router_started_between_leaving_and_mark_of_a_version_is_not_misled(world):
    writer, fresh = world.routers
    fresh.is_running = False
    put = world.marks.put

    def put_after_version_left(marks):
        world.set_upstream("u1", "v1")
        fresh.start()
        fresh.tick()
        assert fresh.find("a") == "any"
        put(marks)

    world.marks.put = put_after_version_left
    world.set_upstream("u1", "v2")
    for number in range(30):
        world.run(100)
        if writer.may_begin("v2"):
            writer.begin(f"a{number}", "v2")
            assert fresh.find(f"a{number}") != "any"
    assert (SERVICE, "v2") in world.marks.marks_by_key()


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


def test_marks_lost_by_a_revert_are_restored(mixed):
    mixed.marks.revert(lost_count=1)
    mixed.log.revert(lost_count=0)
    assert (SERVICE, "v2") not in mixed.marks.marks_by_key()
    mixed.run(3_000)
    assert mixed.marks.marks_by_key().keys() == {(SERVICE, "v1"), (SERVICE, "v2")}


def test_after_a_revert_that_lost_marks_streams_are_refused_or_found(world):
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    world.remove_upstream("u2")
    world.run(1_000)
    world.kill_all()
    world.marks.revert(lost_count=1)
    world.start_all()
    world.run(3_000)
    assert world.routers[1].find("a") == "unknown"
    assert all(router.may_begin("v1") for router in world.routers)


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


def test_unreadable_mark_leaves_origins_unknown_for_a_lifetime(world):
    read = world.marks.read

    def read_incomplete():
        listing = read()
        return type(listing)(listing.marks, listing.end, is_complete=False)

    world.marks.read = read_incomplete
    world.routers[1].start()
    world.run(3_000)
    assert world.routers[1].find("a") == "unknown"
    world.run(ABSENCE_MS)
    assert world.routers[1].find("a") == "any"


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
