import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.gateway.suspects import (
    QUARANTINE_TIME,
    TURN_TIME,
    Suspects,
    TurnRequest,
    TurnTable,
)
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.peers.members import Member, Members, View


class Network:
    """Peer clients and servers of routers in one process."""

    def __init__(self, vms):
        self.clock = ManualClock()
        self.lost = set()
        self.handlers_by_vm = {vm: {} for vm in vms}
        members = {vm: Member(vm, "i", "bkk-1", vm) for vm in vms}
        self.members = Members(members, [View(0, tuple(vms))])
        self.suspects_by_vm = {vm: self._suspects(vm) for vm in vms}

    def _suspects(self, vm):
        server = Server(self.handlers_by_vm[vm])
        return Suspects(vm, lambda: self.members, self, server, Counters(), self.clock)

    def call(self, address, method, message, answer_type, timeout):
        if address in self.lost:
            raise PeerUnavailable(address, method, "timeout")
        return self.handlers_by_vm[address][method](message)


class Server:
    def __init__(self, handlers):
        self.handlers = handlers

    def serve(self, method, type_, handler):
        self.handlers[method] = handler


@pytest.fixture
def network():
    return Network(["a", "b", "c"])


def test_quarantine_is_known_everywhere_for_its_time(network):
    network.suspects_by_vm["a"].crashed("f", alone=True)
    for suspects in network.suspects_by_vm.values():
        assert suspects.is_quarantined("f")
    network.clock.advance(QUARANTINE_TIME)
    assert not network.suspects_by_vm["b"].is_quarantined("f")


def test_crash_in_company_makes_suspects_everywhere(network):
    network.suspects_by_vm["a"].crashed("f", alone=False)
    network.suspects_by_vm["a"].crashed("g", alone=False)
    sleep(0.1)
    for suspects in network.suspects_by_vm.values():
        assert suspects.is_suspect("f")
        assert suspects.is_suspect("g")
        assert not suspects.is_quarantined("f")


def test_one_suspect_at_a_time_on_an_engine(network):
    first, second = network.suspects_by_vm["a"], network.suspects_by_vm["b"]
    assert first.acquire("e1", "x")
    assert not second.acquire("e1", "y")
    assert second.acquire("e2", "y")
    first.release("e1", "x")
    sleep(0.01)
    assert second.acquire("e1", "z")


def test_unreachable_coordinators_do_not_hold_up_a_suspect(network):
    network.lost = {"b", "c"}
    assert network.suspects_by_vm["a"].acquire("e1", "x")


def test_turn_ends_with_its_time():
    clock = ManualClock()
    table = TurnTable(clock)
    assert table.handle(TurnRequest("e1", "x")).granted
    assert not table.handle(TurnRequest("e1", "y")).granted
    clock.advance(TURN_TIME)
    assert table.handle(TurnRequest("e1", "y")).granted
