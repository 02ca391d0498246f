"""Messages of routers that wait on the way, and the ages that they tell."""

import pytest
from msgspec.structs import replace

from mulberryhub.base.green import sleep
from mulberryhub.fleet.records import Weights
from mulberryhub.fleet.state import Topic
from soak.links import Link, LinkFault
from tests.fleet.test_exchange import Node, age_at, wait_until

STALL_S = 0.7  # under the time after which a silent connection is closed
TOLERANCE_MS = 150  # of the age after a stall: time on the way without one


class LinkedPair:
    """A publisher and a subscriber, connected by a link that can be stalled."""

    def __init__(self):
        self.publisher, self.subscriber = Node("n1"), Node("n2")
        self.link = Link(self.publisher.member.address)
        address = self.link.address
        self.publisher.member = replace(self.publisher.member, address=address)
        self.mark_current()
        self.subscription = self.subscriber.subscribe(self.publisher)
        wait_until(lambda: self.operator_age(self.subscriber) is not None)
        sleep(0.3)  # messages without a fault

    @staticmethod
    def operator_age(node):
        return node.fleet_state.age(Topic.OPERATOR)

    def mark_current(self):
        now = self.publisher.clock.now()
        self.publisher.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, now)

    def stall(self, fault):
        """Hold messages back; during that, act as the sender of the messages does."""
        self.link.set_fault(fault)
        sleep(0.05)

    def release(self):
        sleep(STALL_S)
        self.link.set_fault(LinkFault.NONE)

    def close(self):
        self.subscription.close()
        self.link.close()
        self.publisher.publisher.stop()
        self.subscriber.publisher.stop()


@pytest.fixture
def pair():
    pair = LinkedPair()
    yield pair
    pair.close()


def test_weights_are_no_younger_at_a_router_that_hears_late_of_them(pair):
    pair.stall(LinkFault.STALL_TO_CLIENT)
    pair.mark_current()
    pair.publisher.fleet_state.apply(Weights("m", 2))
    pair.release()
    wait_until(lambda: pair.subscriber.fleet_state.named_weights.newest("m") == 2)
    assert age_at(pair.subscriber) >= age_at(pair.publisher) - TOLERANCE_MS
    assert age_at(pair.subscriber) >= STALL_S * 1000


def test_late_message_does_not_tell_that_weights_were_not_named_yet(pair):
    pair.stall(LinkFault.STALL_TO_CLIENT)
    pair.mark_current()
    pair.release()
    sleep(0.1)
    pair.subscriber.fleet_state.apply(Weights("m", 2))
    assert age_at(pair.subscriber) >= STALL_S * 1000 - TOLERANCE_MS


def test_weights_are_no_younger_at_a_publisher_that_hears_late_of_them(pair):
    pair.stall(LinkFault.STALL_TO_SERVER)
    now = pair.subscriber.clock.now()
    pair.subscriber.fleet_state.mark_read_up_to(Topic.OPERATOR, 6, now)
    pair.subscriber.fleet_state.apply(Weights("m", 2))
    sleep(STALL_S / 2)
    pair.mark_current()
    sleep(STALL_S / 2)
    pair.link.set_fault(LinkFault.NONE)
    wait_until(lambda: pair.publisher.fleet_state.named_weights.newest("m") == 2)
    assert age_at(pair.publisher) >= age_at(pair.subscriber) - TOLERANCE_MS
    assert age_at(pair.publisher) >= STALL_S * 1000


def test_report_that_waited_for_its_receiver_does_not_make_weights_younger():
    publisher, subscriber = Node("n1"), Node("n2")
    link = Link(publisher.member.address)
    link.set_fault(LinkFault.STALL)
    publisher.member = replace(publisher.member, address=link.address)
    publisher.fleet_state.apply(Weights("m", 2))
    now = subscriber.clock.now()
    subscriber.fleet_state.mark_read_up_to(Topic.OPERATOR, 5, now)
    subscriber.fleet_state.apply(Weights("m", 2))
    subscription = subscriber.subscribe(publisher)
    wait_until(lambda: subscription.ended)
    link.set_fault(LinkFault.NONE)
    sleep(0.3)
    assert age_at(publisher) >= age_at(subscriber)
    link.close()
    publisher.publisher.stop()
    subscriber.publisher.stop()
