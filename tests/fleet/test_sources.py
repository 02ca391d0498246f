"""Tests of which routers read the store, and which ones the others follow."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.sources import (
    MAX_CURRENT_AGE_MS,
    MAX_STAGGER_MS,
    STARTUP_GRACE_MS,
    SourceSelector,
)
from mulberryhub.fleet.state import UNKNOWN_POSITION, FleetState, Topic

MEMBERS = [Member(f"a{n}", f"a{n}:1", "a", n) for n in range(3)]
MEMBERS += [Member(f"b{n}", f"b{n}:1", "b", 3 + n) for n in range(2)]


SEEDS = [Member("seed a0:1", "a0:1", ""), Member("seed b1:1", "b1:1", "")]


class FakeSubscription:
    def __init__(self, member, wants_records, opened_at):
        self.member = member
        self.wants_records = wants_records
        self.opened_at = opened_at
        self.ended = False
        self.closed = False
        self.is_publisher_current = True
        self.coordinator = ""

    def start(self):
        pass

    def close(self):
        self.ended = True
        self.closed = True


class SourcesHarness:
    def __init__(self, name, members=MEMBERS):
        self.clock = ManualClock(now=10_000)
        self.fleet_state = FleetState(self.clock)
        self.opened = []
        self.reads_fail = False
        local_member = next(
            member for member in [*MEMBERS, *members] if member.name == name
        )
        self.source_selector = SourceSelector(
            local_member,
            SEEDS,
            self.fleet_state,
            self._subscribe,
            lambda: self.reads_fail,
            self.clock,
        )
        for member in members:
            self.fleet_state.apply(member)
        self.mark_current()

    def _subscribe(self, member, wants_records):
        subscription = FakeSubscription(member, wants_records, self.clock.now())
        self.opened.append(subscription)
        return subscription

    def mark_current(self, topics=(Topic.OPERATOR, Topic.UPSTREAMS)):
        for topic in topics:
            self.fleet_state.mark_read_up_to(topic, 1, self.clock.now())

    def open_subscriptions(self, wants_records=True):
        return [
            item.member.name
            for item in self.opened
            if not item.ended and item.wants_records is wants_records
        ]


def test_leader_reads_and_follows_other_leaders():
    harness = SourcesHarness("a0")
    harness.source_selector.step()
    assert harness.source_selector.should_read()
    assert harness.open_subscriptions() == []
    assert harness.open_subscriptions(wants_records=False) == ["b0"]


def test_other_members_follow_leader_without_reading():
    harness = SourcesHarness("a2")
    harness.source_selector.step()
    assert harness.open_subscriptions() == ["a0"]
    assert not harness.source_selector.should_read()


@pytest.mark.parametrize("topic", [Topic.OPERATOR, Topic.UPSTREAMS])
def test_router_with_one_stale_topic_reads_store(topic):
    harness = SourcesHarness("a2")
    harness.source_selector.step()
    harness.clock.advance(MAX_CURRENT_AGE_MS + 1)
    harness.mark_current({Topic.OPERATOR, Topic.UPSTREAMS} - {topic})
    assert harness.source_selector.should_read()
    harness.mark_current([topic])
    assert not harness.source_selector.should_read()


def test_router_reads_while_followed_router_is_not_current():
    harness = SourcesHarness("a2")
    harness.source_selector.step()
    harness.opened[0].is_publisher_current = False
    for _ in range(3):
        harness.clock.advance(MAX_CURRENT_AGE_MS // 2)
        harness.mark_current()
        assert harness.source_selector.should_read()
    harness.opened[0].is_publisher_current = True
    assert not harness.source_selector.should_read()


def test_router_with_stale_data_reads_store():
    harness = SourcesHarness("a2")
    harness.source_selector.step()
    harness.clock.advance(MAX_CURRENT_AGE_MS + 1)
    assert harness.source_selector.should_read()
    harness.mark_current()
    assert not harness.source_selector.should_read()


def test_next_member_takes_over_from_failed_leader():
    harness = SourcesHarness("a1")
    harness.source_selector.step()
    assert harness.open_subscriptions() == ["a0"]
    harness.opened[-1].ended = True
    harness.source_selector.step()
    assert harness.source_selector.is_leader()
    harness.clock.advance(60_000)
    harness.source_selector.step()
    assert not harness.source_selector.is_leader()


@pytest.mark.parametrize("name", ["a0", "a2"])
def test_router_cut_off_from_store_tries_members_in_turn(name):
    harness = SourcesHarness(name)
    harness.source_selector.step()
    harness.reads_fail = True
    contacted = set()
    for _ in range(200):
        harness.clock.advance(400)
        harness.source_selector.step()
        contacted.update(harness.open_subscriptions())
    assert contacted >= {member.name for member in MEMBERS} - {name}
    harness.reads_fail = False
    harness.source_selector.step()
    assert harness.open_subscriptions() == ([] if name == "a0" else ["a0"])


def test_seeds_are_contacted_if_store_is_down_at_startup():
    harness = SourcesHarness("a0", members=())
    harness.reads_fail = True
    harness.source_selector.step()
    assert harness.open_subscriptions() == ["seed b1:1"]


def test_fallback_source_with_current_data_is_kept():
    harness = SourcesHarness("a0")
    harness.reads_fail = True
    harness.source_selector.step()
    fallback = harness.open_subscriptions()
    for _ in range(20):
        harness.clock.advance(400)
        harness.mark_current()
        harness.source_selector.step()
    assert harness.open_subscriptions() == fallback


MANY_MEMBERS = [
    Member(f"{name}{n:02d}", f"{name}{n}:1", name, n, strength=strength)
    for name, strength in (("a", 50), ("b", 90), ("c", 70))
    for n in range(20)
]


def make_large_fleet(name):
    harness = SourcesHarness(name, MANY_MEMBERS)
    harness.source_selector.step()
    return harness


def test_two_leaders_read_and_others_follow_strongest():
    assert make_large_fleet("b00").source_selector.should_read()
    assert make_large_fleet("c00").source_selector.should_read()
    weakest = make_large_fleet("a00")
    assert not weakest.source_selector.should_read()
    assert weakest.open_subscriptions() == ["b00"]
    assert weakest.open_subscriptions(wants_records=False) == ["c00"]


def test_leader_without_current_data_from_strongest_reads():
    harness = make_large_fleet("a00")
    assert harness.open_subscriptions() == ["b00"]
    for subscription in harness.opened:
        subscription.is_publisher_current = False
    assert harness.source_selector.should_read()


def test_low_ranked_members_wait_before_reading():
    high_rank, low_rank = make_large_fleet("a03"), make_large_fleet("a12")
    for harness in (high_rank, low_rank):
        harness.clock.advance(MAX_CURRENT_AGE_MS + 1)
    assert high_rank.source_selector.should_read()
    assert not low_rank.source_selector.should_read()
    low_rank.clock.advance(MAX_STAGGER_MS)
    assert low_rank.source_selector.should_read()


def test_starting_router_waits_for_followed_router():
    harness = SourcesHarness("a12", MANY_MEMBERS)
    harness.fleet_state.as_of_by_topic.update(dict.fromkeys(Topic, UNKNOWN_POSITION))
    assert harness.source_selector.should_read_members()
    harness.source_selector.step()
    assert not harness.source_selector.should_read()
    harness.clock.advance(STARTUP_GRACE_MS)
    assert harness.source_selector.should_read()


def test_only_readers_read_members_topic():
    harnesses = {name: make_large_fleet(name) for name in ("b00", "c00", "a00", "a07")}
    for harness in harnesses.values():
        harness.mark_current([Topic.MEMBERS])
    readers = {
        name
        for name, harness in harnesses.items()
        if harness.source_selector.should_read_members()
    }
    assert readers == {"b00", "c00"}


def test_coordinator_is_the_strongest_leader_that_sent_updates():
    harness = SourcesHarness("b0")
    harness.source_selector.step()
    assert harness.source_selector.coordinator().name == "b0"
    subscription = next(item for item in harness.opened if item.member.name == "a0")
    subscription.coordinator = "a0"
    assert harness.source_selector.coordinator().name == "a0"
    subscription.ended = True
    harness.source_selector.step()
    assert harness.source_selector.coordinator().name == "b0"


def test_other_members_ask_the_coordinator_of_their_leader():
    harness = SourcesHarness("a2")
    harness.source_selector.step()
    assert harness.source_selector.coordinator().name == "a2"
    harness.opened[0].coordinator = "b0"
    assert harness.source_selector.coordinator().name == "b0"
    harness.opened[0].ended = True
    harness.source_selector.step()
    assert harness.open_subscriptions() == ["a1"]
    assert harness.source_selector.coordinator().name == "b0"


CONNECT_TIMEOUT_MS = 300  # of an attempt to reach a removed router
STEP_MS = 100
MAX_TIME_ALONE_MS = 2_000  # in which changes must be in force at each router


def longest_time_alone(removed_count):
    """Return the longest time (ms) in which a router follows none that lives.

    The removed routers rank before the living ones. The first minute is left out.
    """
    removed = [Member(f"r{n:03}", f"r{n}:1", "a", n) for n in range(removed_count)]
    living = [Member(f"z{n}", f"z{n}:1", "a", 1_000 + n) for n in range(2)]
    harness = SourcesHarness("z1", [*removed, *living])
    alone_since = harness.clock.now()
    longest = 0
    for _ in range(120_000 // STEP_MS):
        harness.clock.advance(STEP_MS)
        now = harness.clock.now()
        for subscription in harness.opened:
            is_late = now - subscription.opened_at >= CONNECT_TIMEOUT_MS
            if is_late and subscription.member in removed:
                subscription.ended = True
        harness.source_selector.step()
        if harness.open_subscriptions() == ["z0"]:
            alone_since = now
        if now - 10_000 > 60_000:
            longest = max(longest, now - alone_since)
    return longest


# Routers that were removed must not keep the others from a living one.
@pytest.mark.parametrize("removed_count", [0, 60, 600])
def test_living_router_is_followed_beside_removed_ones(removed_count):
    assert longest_time_alone(removed_count) <= MAX_TIME_ALONE_MS
