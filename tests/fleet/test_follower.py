"""Tests of topic followers at several routers that also exchange positions."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.follower import TopicFollower, TopicPlan
from mulberryhub.fleet.removals import (
    OUTAGE_THRESHOLD_MS,
    RELISTING_TIME_MS,
    DelayedRemovals,
)
from mulberryhub.fleet.state import UNKNOWN_POSITION, FleetState, Topic
from mulberryhub.fleet.store import (
    Batch,
    Entry,
    HistoryLost,
    Listing,
    StoreUnavailable,
)
from tests.fleet.test_state import make_upstream

READ_INTERVAL_MS = 700
CALL_TIMEOUT_MS = 800


class FakeStore:
    def __init__(self):
        self.entries = []
        self.first = 0
        self.is_unavailable = False

    def write(self, key, value):
        self.entries.append(Entry(key, len(self.entries), value))

    def delete_history(self):
        self.first = len(self.entries)

    def read(self, topic, position, wait):
        if self.is_unavailable:
            raise StoreUnavailable("store is down")
        if position < self.first:
            raise HistoryLost(self.first)
        return Batch(self.entries[position:], len(self.entries))

    def newest(self, topic):
        newest = {entry.key: entry for entry in self.entries}
        listed = [entry for entry in newest.values() if entry.value]
        return Listing(listed, len(self.entries))


class Router:
    def __init__(self, store, clock):
        self.fleet_state = FleetState(clock)
        self._removals = DelayedRemovals(self.fleet_state, clock)
        plan = TopicPlan(
            Topic.UPSTREAMS,
            self._apply,
            wait=0,
            pause=0,
            on_listing=self._remove_unlisted,
            on_answer=self._removals.record_answer,
            on_failure=self._removals.record_failure,
            is_fully_applied=self._removals.is_fully_applied,
        )
        self._follower = TopicFollower(
            plan, store, self.fleet_state, lambda: True, clock, Counters()
        )

    def _apply(self, entry):
        if entry.value is None:
            self._removals.remove(entry.key, entry.offset)
        else:
            self.fleet_state.apply(make_upstream(entry.key, entry.offset))

    def _remove_unlisted(self, listing):
        ids = [entry.key for entry in listing.entries]
        self._removals.remove_unlisted(ids, listing.end)

    def read(self):
        self._follower.read_once()
        self._removals.apply_due()

    def receive_position(self, other):
        """Apply the position in the topic that another router publishes."""
        position = other.fleet_state.position_by_topic[Topic.UPSTREAMS]
        self.fleet_state.mark_read_up_to(Topic.UPSTREAMS, position, UNKNOWN_POSITION)

    def ids(self):
        return set(self.fleet_state.upstreams_by_id)


def simulate_outage(store, clock, routers):
    """Make the store unavailable while `routers` try to read it."""
    store.is_unavailable = True
    for router in routers:
        router.read()
    clock.advance(OUTAGE_THRESHOLD_MS + 1)
    store.is_unavailable = False


@pytest.mark.parametrize("is_history_deleted", [False, True])
def test_removal_delayed_by_one_router_reaches_the_others(is_history_deleted):
    clock = ManualClock(now=100_000)
    store = FakeStore()
    store.write("u0", b"entry")
    store.write("u1", b"entry")
    first, second = Router(store, clock), Router(store, clock)
    for router in (first, second):
        router.read()
    simulate_outage(store, clock, [first, second])
    store.write("u0", None)
    if is_history_deleted:
        store.delete_history()
    first.read()
    assert first.ids() == {"u0", "u1"}
    second.receive_position(first)
    second.read()
    for _ in range(RELISTING_TIME_MS // READ_INTERVAL_MS + 2):
        clock.advance(READ_INTERVAL_MS)
        for router in (first, second):
            router.read()
    assert first.ids() == second.ids() == {"u1"}


def test_entries_are_not_read_again_while_removal_is_delayed():
    clock = ManualClock(now=100_000)
    store = FakeStore()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    simulate_outage(store, clock, [router])
    store.write("u0", None)
    router.read()
    positions = []
    read = store.read
    store.read = lambda topic, position, wait: (
        positions.append(position),
        read(topic, position, wait),
    )[1]
    router.read()
    assert positions == [2]


def test_router_that_resumes_reading_removes_upstreams_at_once():
    clock = ManualClock(now=100_000)
    store = FakeStore()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    clock.advance(OUTAGE_THRESHOLD_MS + 1)
    store.write("u0", None)
    router.read()
    assert router.ids() == set()


LONG_POLL_MS = 700


class LongPollStore(FakeStore):
    """Holds reads without new entries for the whole wait; can be unresponsive."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self.is_unresponsive = False

    def read(self, topic, position, wait):
        if self.is_unresponsive:
            self._clock.advance(wait + CALL_TIMEOUT_MS)
            raise StoreUnavailable("no answer")
        if position >= len(self.entries):
            self._clock.advance(wait)
        return super().read(topic, position, wait)


def make_long_poll_follower(store, clock):
    fleet_state = FleetState(clock)

    plan = TopicPlan(Topic.OPERATOR, lambda entry: None, wait=LONG_POLL_MS, pause=0)
    follower = TopicFollower(plan, store, fleet_state, lambda: True, clock, Counters())
    follower.read_once()
    return follower, fleet_state


def test_empty_long_poll_shows_that_topic_is_current():
    clock = ManualClock(now=100_000)
    store = LongPollStore(clock)
    follower, fleet_state = make_long_poll_follower(store, clock)
    follower.read_once()
    assert fleet_state.age(Topic.OPERATOR) == 0


def test_first_read_after_failure_is_not_a_long_poll():
    clock = ManualClock(now=100_000)
    store = LongPollStore(clock)
    follower, _ = make_long_poll_follower(store, clock)
    store.is_unresponsive = True
    follower.read_once()
    assert follower.failing_since is not None
    store.is_unresponsive = False
    before = clock.now()
    follower.read_once()
    assert follower.failing_since is None
    assert clock.now() == before


def test_entry_that_fails_to_apply_does_not_block_later_ones():
    clock = ManualClock(now=100_000)
    store = FakeStore()
    applied = []

    def apply(entry):
        if entry.key == "bad":
            raise ValueError("cannot be applied")
        applied.append(entry.key)

    plan = TopicPlan(Topic.OPERATOR, apply, wait=0, pause=0)
    follower = TopicFollower(
        plan, store, FleetState(clock), lambda: True, clock, Counters()
    )
    for key in ("bad", "good"):
        store.write(key, b"value")
    follower.read_once()
    store.write("bad", b"value")
    store.write("better", b"value")
    follower.read_once()
    assert applied == ["good", "better"]
