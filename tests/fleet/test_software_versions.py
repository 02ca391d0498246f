"""Guards against streams that begin on versions that later routers do not know of."""

import pytest

from mulberryhub.fleet.software_marks import SoftwareMark
from mulberryhub.fleet.software_versions import USE_TIME_MS
from mulberryhub.fleet.sources import MAX_CURRENT_AGE_MS
from tests.support.origin_routers import (
    ABSENCE_MS,
    SERVICE,
    SETTLED_MS,
    mixed_world,
    settled_world,
)


@pytest.fixture
def world():
    return settled_world()


@pytest.fixture
def mixed():
    return mixed_world()


def test_new_version_is_not_begun_before_all_routers_know_it(world):
    world.set_upstream("u2", "v2")
    world.run(MAX_CURRENT_AGE_MS)
    assert not any(router.may_begin("v2") for router in world.routers)
    assert all(router.may_begin("v1") for router in world.routers)
    world.run(2_000)
    assert all(router.may_begin("v2") for router in world.routers)
    assert world.routers[1].find("a") == "unknown"


def test_time_until_streams_begin_on_a_new_version_runs_down(world):
    world.set_upstream("u2", "v2")
    world.run(500)
    waits = []
    while not world.routers[0].may_begin("v2"):
        waits.append(world.routers[0].origins.time_until_begin(SERVICE))
        world.run(100)
    assert waits == sorted(waits, reverse=True)
    assert 1_000 < waits[0] <= USE_TIME_MS


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


def test_only_version_of_a_service_is_begun_at_once_and_when_it_comes_back(world):
    router = world.routers[0]
    world.remove_upstream("u1")
    world.run(5_000)
    world.set_upstream("u2", "v1")
    while not router.versions_in_view():
        router.tick()
        world.clock.advance(10)
    assert router.may_begin("v1")


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
