"""Followers of one topic at several routers, which also tell one another."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.beliefs import UNKNOWN, Beliefs, Topic
from mulberryhub.fleet.follower import TopicFollower, TopicPlan
from mulberryhub.fleet.removals import OUTAGE, RETURN_TIME, Removals
from mulberryhub.fleet.store import (
    Batch,
    Entry,
    HistoryLost,
    Listing,
    StoreUnavailable,
)
from tests.fleet.test_beliefs import make_upstream

PAUSE = 700  # ms between reads
CALL_TIMEOUT = 800  # ms


class Store:
    def __init__(self):
        self.entries = []
        self.first = 0
        self.is_away = False

    def write(self, key, value):
        self.entries.append(Entry(key, len(self.entries), value))

    def forget(self):
        self.first = len(self.entries)

    def read(self, topic, position, wait):
        if self.is_away:
            raise StoreUnavailable("away")
        if position < self.first:
            raise HistoryLost(self.first)
        return Batch(self.entries[position:], len(self.entries))

    def newest(self, topic):
        newest = {entry.key: entry for entry in self.entries}
        listed = [entry for entry in newest.values() if entry.value]
        return Listing(listed, len(self.entries))


class Router:
    def __init__(self, store, clock):
        self.beliefs = Beliefs(clock)
        self._removals = Removals(self.beliefs, clock)
        plan = TopicPlan(
            Topic.UPSTREAMS,
            self._apply,
            wait=0,
            pause=0,
            reconcile=self._remove_unlisted,
            answered=self._removals.note_read,
            failed=self._removals.note_failure,
            is_settled=self._removals.is_settled,
        )
        self._follower = TopicFollower(
            plan, store, self.beliefs, lambda: True, clock, Counters()
        )

    def _apply(self, entry):
        if entry.value is None:
            self._removals.remove(entry.key, entry.offset)
        else:
            self.beliefs.learn(make_upstream(entry.key, entry.offset))

    def _remove_unlisted(self, listing):
        ids = [entry.key for entry in listing.entries]
        self._removals.remove_unlisted(ids, listing.end)

    def read(self):
        self._follower.read_once()
        self._removals.apply_due()

    def hear_position(self, other):
        """Take how far another router says that it knows the topic."""
        position = other.beliefs.position_by_topic[Topic.UPSTREAMS]
        self.beliefs.read_up_to(Topic.UPSTREAMS, position, UNKNOWN)

    def ids(self):
        return set(self.beliefs.upstreams_by_id)


def pass_outage(store, clock, routers):
    """Let the store be away while `routers` try to read it."""
    store.is_away = True
    for router in routers:
        router.read()
    clock.advance(OUTAGE + 1)
    store.is_away = False


@pytest.mark.parametrize("is_forgotten", [False, True])
def test_a_removal_that_one_router_holds_back_reaches_the_others(is_forgotten):
    clock = ManualClock(now=100_000)
    store = Store()
    store.write("u0", b"entry")
    store.write("u1", b"entry")
    first, second = Router(store, clock), Router(store, clock)
    for router in (first, second):
        router.read()
    pass_outage(store, clock, [first, second])
    store.write("u0", None)
    if is_forgotten:
        store.forget()
    first.read()
    assert first.ids() == {"u0", "u1"}
    second.hear_position(first)
    second.read()
    for _ in range(RETURN_TIME // PAUSE + 2):
        clock.advance(PAUSE)
        for router in (first, second):
            router.read()
    assert first.ids() == second.ids() == {"u1"}


def test_what_was_read_is_not_read_again_while_a_removal_waits():
    clock = ManualClock(now=100_000)
    store = Store()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    pass_outage(store, clock, [router])
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


def test_a_router_that_begins_to_read_again_removes_what_left_at_once():
    clock = ManualClock(now=100_000)
    store = Store()
    store.write("u0", b"entry")
    router = Router(store, clock)
    router.read()
    clock.advance(OUTAGE + 1)
    store.write("u0", None)
    router.read()
    assert router.ids() == set()


WAIT = 700  # ms


class WaitingStore(Store):
    """Holds reads without news for the whole wait, and swallows them while silent."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self.is_silent = False

    def read(self, topic, position, wait):
        if self.is_silent:
            self._clock.advance(wait + CALL_TIMEOUT)
            raise StoreUnavailable("no answer")
        if position >= len(self.entries):
            self._clock.advance(wait)
        return super().read(topic, position, wait)


def follow_with_waits(store, clock):
    beliefs = Beliefs(clock)

    plan = TopicPlan(Topic.OPERATOR, lambda entry: None, wait=WAIT, pause=0)
    follower = TopicFollower(plan, store, beliefs, lambda: True, clock, Counters())
    follower.read_once()
    return follower, beliefs


def test_a_wait_without_news_shows_that_the_topic_is_current():
    clock = ManualClock(now=100_000)
    store = WaitingStore(clock)
    follower, beliefs = follow_with_waits(store, clock)
    follower.read_once()
    assert beliefs.age(Topic.OPERATOR) == 0


def test_a_read_after_a_failure_does_not_wait_to_find_the_store_back():
    clock = ManualClock(now=100_000)
    store = WaitingStore(clock)
    follower, _ = follow_with_waits(store, clock)
    store.is_silent = True
    follower.read_once()
    assert follower.failing_since is not None
    store.is_silent = False
    before = clock.now()
    follower.read_once()
    assert follower.failing_since is None
    assert clock.now() == before


def test_an_entry_that_cannot_be_applied_does_not_keep_back_those_after_it():
    clock = ManualClock(now=100_000)
    store = Store()
    applied = []

    def apply(entry):
        if entry.key == "bad":
            raise ValueError("cannot be applied")
        applied.append(entry.key)

    plan = TopicPlan(Topic.OPERATOR, apply, wait=0, pause=0)
    follower = TopicFollower(
        plan, store, Beliefs(clock), lambda: True, clock, Counters()
    )
    for key in ("bad", "good"):
        store.write(key, b"value")
    follower.read_once()
    store.write("bad", b"value")
    store.write("better", b"value")
    follower.read_once()
    assert applied == ["good", "better"]
