"""Which of two starts of the KV cache store counts, as their epochs have no order."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.cache_index import CacheIndex
from mulberryhub.fleet.cache_watcher import CacheEvents, CacheWatcher
from mulberryhub.fleet.channel import Update, encode
from mulberryhub.fleet.records import CachedPart
from mulberryhub.fleet.state import FleetState
from tests.fleet.test_exchange import Node, wait_until

HOUR_MS = 3_600_000


def make_part(epoch, id="p", number=1, tokens=100):
    return CachedPart("s", id, tokens, epoch, number)


def start_of(index):
    return index.start_of([make_part(index.epoch)])


def make_index(clock=None):
    return CacheIndex(clock or ManualClock(now=100_000))


def test_late_record_of_an_earlier_start_is_ignored():
    index = make_index()
    index.restart(9)
    index.apply(make_part(9))
    index.restart(4)
    assert index.apply(make_part(4))
    assert not index.apply(make_part(9, "q"))
    assert index.holds("s", "p")
    assert not index.holds("s", "q")


def test_start_that_another_router_read_of_later_counts():
    clock = ManualClock(now=100_000)
    reader, other = make_index(clock), make_index(clock)
    reader.restart(9)
    other.record_start(*start_of(reader))
    other.apply(make_part(9))
    clock.advance(1_000)
    reader.restart(4)
    other.record_start(*start_of(reader))
    assert not other.holds("s", "p")
    assert other.apply(make_part(4))
    other.record_start(0, 9)
    assert other.holds("s", "p")


def test_order_in_which_starts_are_told_is_of_no_account():
    for starts in ([(5, 9), (6, 4)], [(6, 4), (5, 9)]):
        index = make_index()
        for start in starts:
            index.record_start(*start)
        assert index.epoch == 4


def test_start_that_is_told_again_keeps_its_parts():
    index = make_index()
    index.record_start(5, 9)
    index.apply(make_part(9))
    index.record_start(7, 9)
    assert index.holds("s", "p")
    assert start_of(index) == (7, 9)


def test_own_read_counts_though_the_clock_of_another_router_is_ahead():
    clock = ManualClock(now=100_000)
    index = make_index(clock)
    index.record_start(clock.wall() + HOUR_MS, 9)
    index.restart(4)
    assert index.epoch == 4
    assert start_of(index) == (clock.wall() + HOUR_MS + 1, 4)


def test_watcher_reads_everything_if_another_router_told_the_new_start():
    fleet_state = FleetState(ManualClock(now=100_000))
    index = fleet_state.cache_index
    held = {"epoch": 9, "parts": [make_part(9)]}
    calls = []

    def read(kind):
        calls.append(kind)
        return CacheEvents(held["epoch"], 8, False, held["parts"])

    watcher = CacheWatcher(
        lambda: "a:1",
        lambda address, since: read("events"),
        lambda address: read("all"),
        fleet_state,
        lambda: True,
        ManualClock(now=100_000),
    )
    watcher.step("a:1")
    assert index.holds("s", "p")
    held.update(epoch=4, parts=[make_part(4, "q")])
    index.record_start(start_of(index)[0] + 1, 4)
    for _ in range(2):
        watcher.step("a:1")
    assert calls == ["all", "events", "all"]
    assert index.holds("s", "q")
    assert not index.holds("s", "p")


@pytest.mark.parametrize("clock_error", [-HOUR_MS, HOUR_MS], ids=["behind", "ahead"])
def test_watcher_regains_all_parts_though_the_clock_of_another_router_is_wrong(
    clock_error,
):
    clock = ManualClock(now=100_000)
    fleet_state = FleetState(clock)
    index = fleet_state.cache_index
    events = CacheEvents(4, 8, False, [make_part(4, "q")])
    later = CacheEvents(4, 8, False, [])
    watcher = CacheWatcher(
        lambda: "a:1",
        lambda address, since: later,
        lambda address: events,
        fleet_state,
        lambda: True,
        clock,
    )
    watcher.step("a:1")
    assert index.holds("s", "q")
    index.record_start(clock.wall() + clock_error, 9)
    for _ in range(3):
        watcher.step("a:1")
    assert index.epoch == 4
    assert index.holds("s", "q")


def test_start_is_told_with_parts_only():
    index = make_index()
    index.restart(9)
    assert index.start_of([]) is None
    plain = len(encode(Update()))
    assert plain < len(encode(Update(cache_start=start_of(index))))
    assert plain <= 20


def test_start_is_told_to_other_routers():
    leader, follower = Node("n1"), Node("n2")
    for node in (leader, follower):
        node.fleet_state.cache_index.record_start(5, 9)
        node.fleet_state.apply(make_part(9))
    leader.fleet_state.cache_index.restart(4)
    leader.fleet_state.apply(make_part(4, "q"))
    subscription = follower.subscribe(leader)
    index = follower.fleet_state.cache_index
    wait_until(lambda: index.holds("s", "q"))
    assert start_of(index) == start_of(leader.fleet_state.cache_index)
    assert not index.holds("s", "p")
    subscription.close()
    leader.publisher.stop()
    follower.publisher.stop()
