"""Ages of weights that pass from one router to another, or over a restart."""

from math import inf

import pytest
from msgspec.structs import replace

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.green import sleep
from mulberryhub.fleet.channel import Update
from mulberryhub.fleet.named_weights import MAX_VERSION_COUNT
from mulberryhub.fleet.publisher import Publisher
from mulberryhub.fleet.records import Member, Weights
from mulberryhub.fleet.removals import DelayedRemovals
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.subscription import Subscription
from soak.links import Link, LinkFault
from tests.fleet.test_exchange import Node, age_at, wait_until
from tests.fleet.test_state import make_upstream

MODEL = "m"
PAUSE_MS = 4_000
STALL_S = 0.7  # under the time after which a silent connection is closed
TOLERANCE_MS = 150  # of an age: time on the way without a fault


def make_state(router):
    return FleetState(ManualClock(now=100_000), router, "a")


def name_after_one_of_unknown_age(fleet_state):
    """Name version 4 at an unknown time, and version 5 now."""
    fleet_state.apply(Weights(MODEL, 4))
    clock = fleet_state._clock
    fleet_state.mark_read_up_to(Topic.OPERATOR, 1, clock.now())
    clock.advance(1_000)
    fleet_state.apply(Weights(MODEL, 5))


def age_of_replaced(fleet_state, version):
    return fleet_state.named_weights.time_since_superseded(MODEL, version)


def test_router_that_starts_hears_of_versions_of_unknown_age():
    running, started = make_state("r1"), make_state("r2")
    name_after_one_of_unknown_age(running)
    assert age_of_replaced(running, 3) == inf
    for record in running.named_weights.records():
        started.apply(record, "r1")
    assert age_of_replaced(started, 3) == inf


def test_saved_times_tell_of_versions_of_unknown_age():
    before, after = make_state("r1"), make_state("r1")
    name_after_one_of_unknown_age(before)
    after._clock.advance(1_000)
    for times in before.named_weights.unstored_times():
        after.apply(times)
    assert age_of_replaced(after, 3) == inf


def test_router_that_starts_does_not_count_from_the_version_after_a_provisional_one():
    running, started = make_state("r1"), make_state("r2")
    clock = running._clock
    running.mark_read_up_to(Topic.OPERATOR, 1, clock.now())
    clock.advance(1_500)
    running.record_unreadable(clock.now())
    running.apply(Weights(MODEL, 4))
    clock.advance(8_000)
    running.mark_read_up_to(Topic.OPERATOR, 2, clock.now())
    running.apply(Weights(MODEL, 5))
    for record in running.named_weights.records():
        started.apply(record, "r1")
    assert age_of_replaced(started, 3) >= 8_000


def test_versions_that_are_dropped_do_not_make_the_replaced_ones_younger():
    fleet_state = make_state("r1")
    clock = fleet_state._clock
    for version in range(1, MAX_VERSION_COUNT + 3):
        fleet_state.mark_read_up_to(Topic.OPERATOR, version, clock.now())
        fleet_state.apply(Weights(MODEL, version))
        clock.advance(500)
    assert age_of_replaced(fleet_state, 1) >= 500 * (MAX_VERSION_COUNT + 1)


def test_relayed_time_of_a_topic_counts_what_the_first_message_waited():
    first, relay, last = Node("n1"), Node("n2"), Node("n3")
    link = Link(first.member.address)
    first.member = replace(first.member, address=link.address)
    first.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, first.clock.now())
    relayed, followed = relay.subscribe(first), last.subscribe(relay)
    wait_until(lambda: last.fleet_state.age(Topic.OPERATOR) is not None)
    sleep(0.3)
    link.set_fault(LinkFault.STALL_TO_CLIENT)
    sleep(0.05)
    read_at = first.clock.now()
    first.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, read_at)
    sleep(STALL_S)
    link.set_fault(LinkFault.NONE)
    sleep(0.15)
    relayed.close()  # So no later message tells a later time.
    sleep(0.4)
    last.fleet_state.apply(Weights(MODEL, 2))
    absent_for = last.clock.now() - read_at
    age = age_at(last)
    for part in (followed, link):
        part.close()
    for node in (first, relay, last):
        node.publisher.stop()
    assert age >= absent_for - TOLERANCE_MS


def test_time_of_a_topic_that_an_earlier_build_told_is_not_relayed_as_certain(
    monkeypatch,
):
    first, relay, last = Node("n1"), Node("n2"), Node("n3")
    make_update = Publisher._make_update

    def without_sent_at(publisher, revision):
        update = make_update(publisher, revision)
        if publisher is first.publisher:
            update.sent_at = None
        return update

    monkeypatch.setattr(Publisher, "_make_update", without_sent_at)
    first.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, first.clock.now())
    relayed, followed = relay.subscribe(first), last.subscribe(relay)
    wait_until(lambda: last.fleet_state.age(Topic.OPERATOR) is not None)
    sleep(0.3)
    relay.fleet_state.apply(Weights(MODEL, 2))
    assert age_at(relay) == inf
    wait_until(lambda: last.fleet_state.named_weights.newest(MODEL) == 2)
    age = age_at(last)
    for part in (relayed, followed):
        part.close()
    for node in (first, relay, last):
        node.publisher.stop()
    assert age == inf


class TestPause:
    """A process that stands still between the receipt of a message and its use."""

    @pytest.fixture
    def fleet_state(self):
        fleet_state = make_state("r1")
        clock = fleet_state._clock
        is_paused = []

        def pause():
            if not is_paused:
                is_paused.append(True)
                clock.advance(PAUSE_MS)

        fleet_state.on_change(pause)
        return fleet_state

    def test_update_is_no_fresher_by_a_pause_before_its_time_is_applied(
        self, fleet_state
    ):
        clock = fleet_state._clock
        removals = DelayedRemovals(fleet_state, clock)
        member = Member("r2", "127.0.0.1:1", "d", 0)
        local = Member("r1", "127.0.0.1:2", "d", 0)
        subscription = Subscription(
            member, local, True, fleet_state, removals, None, clock
        )
        update = Update(
            records=[make_upstream("u1", 4)],
            position_by_topic={"operator": 5},
            age_by_topic={"operator": 0},
            operator_absent_age=0,
            sent_at=clock.now(),
        )
        received_at = clock.now()
        subscription._learn_transit(update, received_at)
        subscription._apply_update(update, received_at)
        assert fleet_state.operator_absent_at is not None
        fleet_state.apply(Weights(MODEL, 2))
        assert age_of_replaced(fleet_state, 1) >= clock.now() - received_at

    def test_told_ages_are_no_shorter_by_a_pause_before_they_are_applied(
        self, fleet_state
    ):
        clock = fleet_state._clock
        removals = DelayedRemovals(fleet_state, clock)
        member = Member("r2", "127.0.0.1:1", "d", 0)
        local = Member("r1", "127.0.0.1:2", "d", 0)
        subscription = Subscription(
            member, local, True, fleet_state, removals, None, clock
        )
        update = Update(
            records=[make_upstream("u1", 4), Weights(MODEL, 2, {2: 100})],
            sent_at=clock.now(),
        )
        received_at = clock.now()
        subscription._learn_transit(update, received_at)
        subscription._apply_update(update, received_at)
        assert age_of_replaced(fleet_state, 1) < inf
        assert age_of_replaced(fleet_state, 1) >= PAUSE_MS + 100


def test_slow_first_exchange_does_not_make_later_ages_longer():
    publisher, subscriber = Node("n1"), Node("n2")
    link = Link(publisher.member.address)
    link.set_fault(LinkFault.STALL_TO_SERVER)
    publisher.member = replace(publisher.member, address=link.address)
    subscription = subscriber.subscribe(publisher)
    sleep(STALL_S)
    link.set_fault(LinkFault.NONE)
    sleep(1.0)  # messages without a fault
    publisher.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, publisher.clock.now())
    publisher.fleet_state.apply(Weights(MODEL, 2))
    wait_until(lambda: subscriber.fleet_state.named_weights.newest(MODEL) == 2)
    longer = age_at(subscriber) - age_at(publisher)
    subscription.close()
    link.close()
    publisher.publisher.stop()
    subscriber.publisher.stop()
    assert 0 <= longer <= TOLERANCE_MS
