"""What a router may know of a gap in its view of the upstreams, and what it may not."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.removals import RELISTING_TIME_MS
from mulberryhub.fleet.state import Topic
from tests.fleet.test_exchange import Node, make_upstream, wait_until
from tests.fleet.test_follower import FakeStore, Router, simulate_outage
from tests.support.origin_routers import ABSENCE_MS, SETTLED_MS, mixed_world

CUT_MS = 5_000
MARGIN_MS = 2_000  # for reads


def cut_while(world, change):
    """Let `change()` happen in the midst of a gap at the second router."""
    world.routers[1].is_cut = True
    world.run(CUT_MS // 2)
    change()
    world.run(CUT_MS // 2)
    world.routers[1].is_cut = False
    world.run(MARGIN_MS)


@pytest.fixture
def world():
    """Return routers from which v1 left half an absence ago."""
    world = mixed_world()
    world.remove_upstream("u1")
    world.run(ABSENCE_MS // 2)
    return world


def nothing():
    """Do nothing."""


def test_gap_in_which_all_records_were_read_leaves_an_absence_as_it_is(world):
    cut_while(world, nothing)
    assert world.routers[1].find("b") == "unknown"
    world.run(ABSENCE_MS // 2 - CUT_MS)
    assert world.routers[1].find("b") == "any"


def test_gap_with_records_that_were_missed_starts_an_absence_anew(world):
    seen_software = world.routers[1].fleet_state.seen_software
    cut_while(world, seen_software.record_skip)
    world.run(ABSENCE_MS - 2 * MARGIN_MS)
    assert world.routers[1].find("b") == "unknown"
    world.run(3 * MARGIN_MS)
    assert world.routers[1].find("b") == "any"


def test_version_that_came_and_left_within_a_gap_is_not_absent(world):
    def come_and_leave():
        world.set_upstream("u3", "v1")
        world.run(100)
        world.remove_upstream("u3")

    cut_while(world, come_and_leave)
    world.run(ABSENCE_MS - 2 * MARGIN_MS)
    assert world.routers[1].find("b") == "unknown"
    world.run(3 * MARGIN_MS)
    assert world.routers[1].find("b") == "any"


def test_version_that_came_and_left_under_an_id_in_use_is_not_absent(world):
    def restart_twice():
        world.set_upstream("u2", "v1")
        world.run(100)
        world.set_upstream("u2", "v2")

    cut_while(world, restart_twice)
    world.run(ABSENCE_MS - 2 * MARGIN_MS)
    assert world.routers[1].find("b") == "unknown"


def test_store_from_an_older_copy_starts_an_absence_anew(world):
    world.marks.revert(0)
    world.run(ABSENCE_MS - MARGIN_MS)
    assert world.routers[1].find("b") == "unknown"


def test_new_version_of_a_gap_is_known_from_its_mark(world):
    def add_and_remove():
        world.set_upstream("u3", "v3")
        world.run(SETTLED_MS)
        world.remove_upstream("u3")

    cut_while(world, add_and_remove)
    world.run(ABSENCE_MS - SETTLED_MS - 2 * MARGIN_MS)
    assert world.routers[1].find("b") == "unknown"


def test_marks_are_removed_despite_outages():
    world = mixed_world()
    world.remove_upstream("u1")
    for _ in range(8):
        world.run(ABSENCE_MS // 2 - CUT_MS)
        world.set_store_available(False)
        world.run(CUT_MS)
        world.set_store_available(True)
    assert {mark.software_version for mark in world.marks.read().marks} == {"v2"}


def test_reading_on_misses_nothing_also_after_an_outage():
    clock = ManualClock(now=100_000)
    store = FakeStore()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    skip_count = router.fleet_state.seen_software.skip_count
    simulate_outage(store, clock, [router])
    store.write("u1", b"entry")
    store.write("u0", None)
    router.read()
    clock.advance(RELISTING_TIME_MS + 1)
    router.read()
    assert router.ids() == {"u1"}
    assert router.fleet_state.seen_software.skip_count == skip_count


def test_listing_may_miss_records():
    clock = ManualClock(now=100_000)
    store = FakeStore()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    skip_count = router.fleet_state.seen_software.skip_count
    store.write("u1", b"entry")
    store.delete_history()
    router.read()
    assert router.fleet_state.seen_software.skip_count > skip_count


def test_outdated_records_state_a_version():
    clock = ManualClock(now=100_000)
    router = Router(FakeStore(), clock)
    fleet_state = router.fleet_state
    fleet_state.apply(make_upstream("u1", 5))
    clock.advance(1_000)
    upstream = make_upstream("u1", 4)
    fleet_state.apply(upstream)
    last_stated = fleet_state.seen_software.last_stated(
        upstream.service, upstream.software_version
    )
    assert last_stated == clock.now()


def test_updates_of_other_routers_may_miss_records():
    leader, follower = Node("n1"), Node("n2")
    leader.fleet_state.apply(make_upstream("u1", 4))
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 5, leader.clock.now())
    follower.fleet_state.apply(make_upstream("u1", 4))
    follower.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 5, follower.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: subscription.coordinator)
    seen_software = follower.fleet_state.seen_software
    skip_count = seen_software.skip_count
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 9, leader.clock.now())
    wait_until(lambda: seen_software.skip_count > skip_count)
    assert follower.fleet_state.position_by_topic[Topic.UPSTREAMS] == 9
    subscription.close()
    leader.publisher.stop()
    follower.publisher.stop()
