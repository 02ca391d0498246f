import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.gateway.suspect_leases import (
    LEASE_DURATION_MS,
    LeaseRequest,
    SuspectLeaseTable,
)
from mulberryhub.gateway.suspects import (
    QUARANTINE_DURATION_MS,
    REPORT_RETRY_DELAY_MS,
    Suspects,
)
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.peers.members import Member, MembershipState, MembershipView


class Network:
    """Connects the Suspects of several routers in one process."""

    def __init__(self, vms):
        self.clock = ManualClock()
        self.unreachable_vms = set()
        self.handlers_by_vm = {vm: {} for vm in vms}
        members = {vm: Member(vm, "i", "bkk-1", vm) for vm in vms}
        self.members = MembershipState(members, [MembershipView(0, tuple(vms))])
        self.suspects_by_vm = {vm: self._make_suspects(vm) for vm in vms}

    def _make_suspects(self, vm):
        server = PeerServer(self.handlers_by_vm[vm])
        return Suspects(vm, lambda: self.members, self, server, Counters(), self.clock)

    def call(self, address, method, message, response_type, timeout):
        if address in self.unreachable_vms:
            raise PeerUnavailable(address, method, "timeout")
        return self.handlers_by_vm[address][method](message)


class PeerServer:
    def __init__(self, handlers):
        self.handlers = handlers

    def register_handler(self, method, type_, handler):
        self.handlers[method] = handler


@pytest.fixture
def network():
    return Network(["a", "b", "c"])


def test_quarantine_reaches_all_routers_and_expires(network):
    network.suspects_by_vm["a"].record_crash("f", had_lease=True)
    for suspects in network.suspects_by_vm.values():
        assert suspects.is_quarantined("f")
    network.clock.advance(QUARANTINE_DURATION_MS)
    assert not network.suspects_by_vm["b"].is_quarantined("f")


def test_crash_without_lease_makes_suspects_on_all_routers(network):
    network.suspects_by_vm["a"].record_crash("f", had_lease=False)
    network.suspects_by_vm["a"].record_crash("g", had_lease=False)
    sleep(0.1)
    for suspects in network.suspects_by_vm.values():
        assert suspects.is_suspect("f")
        assert suspects.is_suspect("g")
        assert not suspects.is_quarantined("f")


def test_engine_runs_one_suspect_at_a_time(network):
    first, second = network.suspects_by_vm["a"], network.suspects_by_vm["b"]
    assert first.acquire_lease("e1", "x")
    assert not second.acquire_lease("e1", "y")
    assert second.acquire_lease("e2", "y")
    first.release_lease("e1", "x")
    sleep(0.01)
    assert second.acquire_lease("e1", "z")


def test_lease_is_granted_locally_if_coordinators_are_unreachable(network):
    network.unreachable_vms = {"b", "c"}
    assert network.suspects_by_vm["a"].acquire_lease("e1", "x")


def test_lease_expires():
    clock = ManualClock()
    table = SuspectLeaseTable(clock)
    assert table.handle(LeaseRequest("e1", "x")).granted
    assert not table.handle(LeaseRequest("e1", "y")).granted
    clock.advance(LEASE_DURATION_MS)
    assert table.handle(LeaseRequest("e1", "y")).granted


def crash_with_prefix(suspects, engine, request, had_lease, prefixes=("p",)):
    suspects.record_prefix_crash(engine, request, list(prefixes), had_lease)


def test_prefix_of_requests_that_crash_engines_is_quarantined_at_all_routers(network):
    first, second = network.suspects_by_vm["a"], network.suspects_by_vm["b"]
    crash_with_prefix(first, "e1", "r1", False)
    crash_with_prefix(first, "e2", "r1", True)
    crash_with_prefix(second, "e3", "r2", False)
    crash_with_prefix(second, "e4", "r2", True)
    sleep(0.1)
    assert not first.has_quarantined_prefix(["p"])
    crash_with_prefix(first, "e5", "r3", False)
    sleep(0.1)
    for suspects in network.suspects_by_vm.values():
        assert suspects.has_quarantined_prefix(["p", "q"])


def test_router_knows_crashes_of_a_request_refused_by_another_before(network):
    first, second = network.suspects_by_vm["a"], network.suspects_by_vm["b"]
    for suspects, number in ((first, 1), (second, 2)):
        crash_with_prefix(suspects, f"e{number}", f"r{number}", False)
        suspects.record_crash(f"r{number}", had_lease=False)
        crash_with_prefix(suspects, f"f{number}", f"r{number}", True)
        suspects.record_crash(f"r{number}", had_lease=True)
    crash_with_prefix(first, "e3", "r3", False)
    for suspects in network.suspects_by_vm.values():
        assert suspects.has_quarantined_prefix(["p"])


def test_report_reaches_router_that_was_unreachable_for_a_moment(network):
    network.unreachable_vms = {"b"}
    for number in range(5):
        crash_with_prefix(network.suspects_by_vm["a"], f"e{number}", f"r{number}", True)
    network.suspects_by_vm["a"].record_crash("f", had_lease=True)
    assert not network.suspects_by_vm["b"].has_quarantined_prefix(["p"])
    network.unreachable_vms = set()
    sleep((REPORT_RETRY_DELAY_MS + 100) / 1000)
    assert network.suspects_by_vm["b"].has_quarantined_prefix(["p"])
    assert network.suspects_by_vm["b"].is_quarantined("f")


def test_prefix_of_completed_requests_is_not_quarantined(network):
    suspects = network.suspects_by_vm["a"]
    for number in range(8):
        crash_with_prefix(suspects, f"e{number}", f"r{number}", True, ["hot", "bad"])
        sleep(0.05)
        network.suspects_by_vm["b"].record_served(["hot"])
        sleep(0.05)
    assert suspects.has_quarantined_prefix(["bad"])
    for other in network.suspects_by_vm.values():
        assert not other.has_quarantined_prefix(["hot"])
