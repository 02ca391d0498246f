"""Requests to the coordinator over a real connection."""

import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.fleet.channel import (
    SEND_TIMEOUT_MS,
    Channel,
    ChannelError,
    Hello,
    QuotaGrant,
    QuotaRequest,
)
from mulberryhub.fleet.publisher import SUBSCRIBER_TIMEOUT_MS, Publisher
from mulberryhub.fleet.records import Member, Usage
from mulberryhub.fleet.state import FleetState
from mulberryhub.fleet.usage import UsageTable
from mulberryhub.permits.client import CoordinatorClient

WINDOW_MS = 8_000
REQUEST = QuotaRequest(0, "w", 10)


@pytest.fixture
def coordinator():
    clock = Clock()
    member = Member("n1", free_address(), "d", 0)
    publisher = Publisher(
        member.address,
        FleetState(clock),
        UsageTable(Usage, "d", WINDOW_MS, clock),
        lambda: True,
        lambda: member,
        lambda request: QuotaGrant(request.number, request.cost),
        clock,
    )
    publisher.start()
    yield member
    publisher.stop()


def make_client(member):
    return CoordinatorClient("n2", lambda: member, lambda request: None, Clock())


@pytest.mark.parametrize("idle_ms", [0, SEND_TIMEOUT_MS + 300])
def test_connection_to_the_coordinator_is_kept_while_it_is_idle(
    coordinator, idle_ms, monkeypatch
):
    # Guards against a coordinator that counts as lost whenever nothing is asked.
    opened = []
    open_channel = Channel.open
    monkeypatch.setattr(
        Channel, "open", lambda address: opened.append(1) or open_channel(address)
    )
    client = make_client(coordinator)
    assert client.ask(REQUEST) is not None
    sleep(idle_ms / 1_000)
    assert client.ask(REQUEST) is not None
    assert len(opened) == 1


def test_silent_subscriber_is_disconnected(coordinator):
    # Guards against reports that count for as long as a connection stays open.
    channel = Channel.open(coordinator.address)
    channel.send(Hello("n2", "d", True, -1, {}))
    with Timeout(2 * SUBSCRIBER_TIMEOUT_MS / 1_000), pytest.raises(ChannelError):
        while True:
            channel.receive()


def test_channel_without_messages_is_silent_after_the_timeout(coordinator):
    # Guards against a wait for a router that stands still.
    channel = Channel.open(coordinator.address)
    with Timeout(1), pytest.raises(ChannelError, match="silent"):
        channel.receive(100)
