import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import sleep, spawn
from mulberryhub.config.inventory import Inventory, Workspace
from mulberryhub.config.view import ConfigView
from mulberryhub.limits.limiter import Limiter
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.members import (
    Member,
    MembershipState,
    MembershipView,
    RouterIdentity,
)
from mulberryhub.peers.server import PeerServer

WORKSPACE = Workspace("w", rate=1_000, burst=2_000)
FILL_TIME_S = 3.5
DEADLINE_MS = 60_000


class FixedConfig:
    def __init__(self, workspace=WORKSPACE):
        self.view = ConfigView(0, Inventory(workspaces=[workspace]))

    def current(self):
        return self.view


class Node:
    def __init__(self, vm):
        self.clock = Clock()
        self.counters = Counters()
        self.server = PeerServer("127.0.0.1:0", "secret")
        client = PeerClient("secret")
        self.router = RouterIdentity(vm, "dc", "")
        self.limiter = Limiter(
            self.router, FixedConfig(), client, self.server, self.clock, self.counters
        )
        self.server.start()
        self.limiter.start()

    def admit(self, cost, wait=DEADLINE_MS):
        return self.limiter.admit(WORKSPACE, cost, self.clock.now() + wait)

    def refusal(self, cost, wait=DEADLINE_MS):
        with pytest.raises(ApiError) as raised:
            self.admit(cost, wait)
        return raised.value

    def level(self):
        return self.limiter.available_tokens_by_workspace()["w"]


@pytest.fixture
def nodes():
    nodes = [Node("a"), Node("b")]
    members = [
        Member(
            node.router.vm,
            node.router.incarnation,
            "dc",
            node.server.address,
            confirmed_view=1,
        )
        for node in nodes
    ]
    view = MembershipView(1, ("a", "b"))
    for node in nodes:
        node.limiter.update_members(
            MembershipState({member.vm: member for member in members}, (view,))
        )
    sleep(FILL_TIME_S)
    yield nodes
    for node in nodes:
        node.limiter.close()
        node.server.stop(0)


def test_requests_are_refused_while_members_are_unknown():
    node = Node("a")
    assert node.refusal(1).code is ErrorCode.NOT_READY
    node.limiter.close()
    node.server.stop(0)


def test_tokens_missing_from_the_local_share_are_borrowed(nodes):
    a, b = nodes
    assert (a.level(), b.level()) == (1_000, 1_000)
    assert a.refusal(2_001).code is ErrorCode.OVER_BURST
    assert a.admit(1_990).cost == 1_990
    assert b.level() < 900


def test_unused_tokens_return_to_the_lender(nodes):
    a, b = nodes
    grant = a.admit(2_000)
    grant.settle(0)
    grant.settle(0)
    for _ in range(100):
        if a.level() + b.level() >= 1_990:
            break
        sleep(0.02)
    assert a.level() + b.level() >= 1_990
    assert a.admit(1_900)
    assert a.refusal(1_900, wait=50).code is ErrorCode.OVER_RATE


def test_refusal_has_retry_after(nodes):
    a = nodes[0]
    a.admit(2_000)
    error = a.refusal(2_000, wait=50)
    assert error.code is ErrorCode.OVER_RATE
    assert 1_000 <= error.retry_after <= 2_000
    assert a.admit(100).cost == 100


def test_disconnected_client_is_removed_from_the_queue(nodes):
    a = nodes[0]
    a.admit(2_000)
    waiting = spawn(a.admit, 2_000)
    sleep(0.05)
    waiting.kill()
    assert a.admit(200).cost == 200


def test_is_within_view_and_drain(nodes):
    a, b = nodes
    assert a.limiter.is_within_view(MembershipView(1, ("a", "b")))
    assert not a.limiter.is_within_view(MembershipView(2, ("a", "b", "c")))
    assert a.limiter.drain(5_000)
    assert b.refusal(2_000, wait=100).code is ErrorCode.OVER_RATE
