"""Tests of Publisher and Subscription over a real connection."""

from math import inf

import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.base.windows import SlidingSum
from mulberryhub.fleet.admissions import SLOT_MS, Admitted
from mulberryhub.fleet.publisher import Publisher
from mulberryhub.fleet.records import Configuration, Member, Usage, Weights
from mulberryhub.fleet.removals import OUTAGE_THRESHOLD_MS, DelayedRemovals
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.subscription import Subscription
from mulberryhub.fleet.usage import UsageTable
from tests.fleet.test_state import make_upstream

WINDOW_MS = 8_000


class SleepingClock(Clock):
    def __init__(self):
        self.slept = 0

    def now(self):
        return super().now() + self.slept


class Node:
    def __init__(self, name, data_centre="d", admitted=0):
        self.clock = SleepingClock()
        self.admitted = SlidingSum(WINDOW_MS)
        self.admitted.add(admitted, self.clock.now())
        self.fleet_state = FleetState(self.clock)
        self.member = Member(name, free_address(), data_centre, 0)
        self.removals = DelayedRemovals(self.fleet_state, self.clock)
        self.usage_table = UsageTable(self.measure, data_centre, WINDOW_MS, self.clock)
        self.is_current = False
        self.publisher = Publisher(
            self.member.address,
            self.fleet_state,
            self.usage_table,
            lambda: self.is_current,
            lambda: self.member,
            lambda request: None,
            self.clock,
        )
        self.publisher.start()

    def measure(self):
        now = self.clock.now()
        slots = self.admitted.by_slots(SLOT_MS, now)
        return Usage(Admitted(now % SLOT_MS, {"w": slots}))

    def subscribe(self, other, wants_records=True):
        subscription = Subscription(
            other.member,
            self.member,
            wants_records,
            self.fleet_state,
            self.removals,
            self.usage_table,
            self.clock,
        )
        subscription.start()
        return subscription


def wait_until(condition):
    with Timeout(3):
        while not condition():
            sleep(0.01)


@pytest.fixture
def pair():
    leader, follower = Node("n1", admitted=10), Node("n2", admitted=3)
    yield leader, follower
    leader.publisher.stop()
    follower.publisher.stop()


def make_configuration(version):
    return Configuration(version, [], [], [])


def test_subscriber_without_store_receives_changes(pair):
    leader, follower = pair
    leader.fleet_state.apply(make_configuration(1))
    leader.fleet_state.apply(make_upstream("u1", 4))
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 5, leader.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: "u1" in follower.fleet_state.upstreams_by_id)
    assert follower.fleet_state.configuration.version == 1
    assert follower.fleet_state.position_by_topic[Topic.UPSTREAMS] == 5
    assert follower.fleet_state.age(Topic.UPSTREAMS) < 500
    leader.fleet_state.apply(make_configuration(2))
    wait_until(lambda: follower.fleet_state.configuration.version == 2)
    subscription.close()


def test_subscriber_removes_upstreams_gone_before_publisher_started_reading(pair):
    leader, follower = pair
    follower.fleet_state.apply(make_upstream("u1", 4))
    follower.fleet_state.apply(make_upstream("u2", 5))
    follower.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 6, follower.clock.now())
    leader.fleet_state.apply(make_upstream("u2", 5))
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 9, leader.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: follower.fleet_state.position_by_topic[Topic.UPSTREAMS] == 9)
    assert set(follower.fleet_state.upstreams_by_id) == {"u2"}
    subscription.close()


def test_subscriber_with_delayed_removal_does_not_adopt_position(pair):
    leader, follower = pair
    follower.fleet_state.apply(make_upstream("u1", 4))
    follower.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 5, follower.clock.now())
    follower.removals.record_failure(follower.clock.now() - OUTAGE_THRESHOLD_MS - 1)
    follower.removals.record_answer()
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 9, leader.clock.now())
    leader.fleet_state.mark_read_up_to(Topic.MEMBERS, 3, leader.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: follower.fleet_state.position_by_topic[Topic.MEMBERS] == 3)
    assert follower.fleet_state.position_by_topic[Topic.UPSTREAMS] == 5
    assert follower.removals.delayed_count() == 1
    subscription.close()


def test_subscribers_remove_unlisted_upstreams_unknown_to_publisher(pair):
    leader, follower = pair
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 3, leader.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: follower.fleet_state.position_by_topic[Topic.UPSTREAMS] == 3)
    follower.fleet_state.apply(make_upstream("u1", 4))
    leader.removals.remove_unlisted([], 9)
    leader.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 9, leader.clock.now())
    wait_until(lambda: not follower.fleet_state.upstreams_by_id)
    subscription.close()


def test_subscriber_knows_whether_publisher_is_current(pair):
    leader, follower = pair
    subscription = follower.subscribe(leader)
    assert not subscription.is_publisher_current
    leader.is_current = True
    wait_until(lambda: subscription.is_publisher_current)
    leader.is_current = False
    wait_until(lambda: not subscription.is_publisher_current)
    subscription.close()


def test_rollouts_are_sent_in_both_directions(pair):
    leader, follower = pair
    subscription = follower.subscribe(leader)
    sleep(0.1)
    follower.fleet_state.apply_rollout(Rollout(fence=1, revision=1, loading=["u1"]))
    wait_until(lambda: leader.fleet_state.loading_ids() == ["u1"])
    leader.fleet_state.apply_rollout(Rollout(fence=1, revision=2))
    wait_until(lambda: not follower.fleet_state.loading_ids())
    subscription.close()


def test_each_router_knows_total_use_of_the_others(pair):
    leader, follower = pair
    subscription = follower.subscribe(leader)
    wait_until(lambda: leader.usage_table.others() is not None)
    assert round(leader.usage_table.admitted_by_others("w"), 3) == 3
    wait_until(lambda: follower.usage_table.others() is not None)
    wait_until(lambda: round(follower.usage_table.admitted_by_others("w")) == 10)
    subscription.close()


def test_subscription_to_stopped_publisher_ends(pair):
    leader, follower = pair
    leader.publisher.stop()
    subscription = follower.subscribe(leader)
    wait_until(lambda: subscription.ended)


def test_other_data_centres_receive_use_without_records(pair):
    leader, _ = pair
    leader.fleet_state.apply(make_configuration(1))
    remote = Node("n3", data_centre="e")
    subscription = remote.subscribe(leader, wants_records=False)
    wait_until(lambda: remote.usage_table.others() is not None)
    assert remote.fleet_state.configuration is None
    assert round(remote.usage_table.admitted_by_others("w"), 3) == 10
    subscription.close()
    remote.publisher.stop()


@pytest.mark.parametrize(
    "subscribers, period", [(0, 100), (3, 100), (15, 180), (90, 250)]
)
def test_heartbeat_is_shorter_with_few_subscribers(subscribers, period):
    publisher = Publisher(
        "127.0.0.1:1", FleetState(Clock()), None, lambda: False, None, None, Clock()
    )
    publisher._subscriber_count = subscribers
    assert publisher.heartbeat() == period


def test_work_differs_compares_total_difference_with_threshold():
    before = Usage(work_by_upstream={"u0": 100, "u1": 50})
    assert not before.work_differs(Usage(work_by_upstream={"u0": 90, "u1": 50}), 40)
    assert before.work_differs(Usage(work_by_upstream={"u0": 100}), 40)
    assert before.work_differs(Usage(work_by_upstream={"u0": 80, "u1": 75}), 40)


def age_at(node):
    return node.fleet_state.named_weights.time_since_superseded("m", 1)


def test_router_that_starts_learns_the_age_of_weights_from_its_publisher(pair):
    leader, follower = pair
    leader.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, leader.clock.now() - 4_000)
    leader.fleet_state.apply(Weights("m", 2))
    subscription = follower.subscribe(leader)
    wait_until(lambda: follower.fleet_state.named_weights.newest("m") == 2)
    assert 4_000 <= age_at(follower) < 5_000
    subscription.close()


def test_publisher_that_starts_learns_the_age_of_weights_and_tells_it(pair):
    leader, follower = pair
    leader.fleet_state.apply(Weights("m", 2))
    other = Node("n3")
    others_subscription = other.subscribe(leader)
    wait_until(lambda: other.fleet_state.named_weights.newest("m") == 2)
    assert age_at(other) == inf
    now = follower.clock.now()
    follower.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, now - 4_000)
    follower.fleet_state.apply(Weights("m", 2))
    subscription = follower.subscribe(leader)
    wait_until(lambda: age_at(leader) < inf)
    wait_until(lambda: age_at(other) < inf)
    assert 4_000 <= age_at(leader) < 5_000
    assert 4_000 <= age_at(other) < 5_000
    subscription.close()
    others_subscription.close()
    other.publisher.stop()


def test_messages_that_waited_while_the_machine_slept_are_not_applied(pair):
    leader, follower = pair
    leader.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, leader.clock.now())
    subscription = follower.subscribe(leader)
    wait_until(lambda: follower.fleet_state.age(Topic.OPERATOR) is not None)
    follower.clock.slept = 9_000
    leader.fleet_state.mark_read_up_to(Topic.OPERATOR, 6, leader.clock.now())
    wait_until(lambda: subscription.ended)
    assert follower.fleet_state.age(Topic.OPERATOR) >= 9_000
