import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep
from mulberryhub.external.log import LogClient
from mulberryhub.external.vm_list import VmListClient
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.members import RouterIdentity
from mulberryhub.peers.server import PeerServer
from mulberryhub.replica import membership as membership_module
from mulberryhub.replica.member_exchange import MemberExchange
from mulberryhub.replica.member_records import (
    MembersSnapshot,
    SnapshotRequested,
    decode_record,
    encode_record,
)
from mulberryhub.replica.membership import Membership

MAX_POLL_COUNT = 300
HOUR_MS = 3_600_000
SNAPSHOT_REPEAT_TIME_S = 2.0  # several of the shortened intervals between appends


class WrongClock(Clock):
    """A clock whose wall time is off by `error` ms."""

    __slots__ = ("error",)

    def __init__(self, error):
        self.error = error

    def wall(self):
        return super().wall() + self.error


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


@pytest.fixture
def vm_list(fleet):
    return fleet.start("mulberryhub.standins.vm_list")


@pytest.fixture
def start(log, monkeypatch):
    monkeypatch.setattr(membership_module, "VM_LIST_INTERVAL_MS", 100)
    monkeypatch.setattr(membership_module, "RANK_DELAY_MS", 100)
    monkeypatch.setattr(membership_module, "APPEND_INTERVAL_MS", 300)
    monkeypatch.setattr(membership_module, "SNAPSHOT_TIMEOUT_MS", 3_000)
    monkeypatch.setattr(membership_module, "READ_WAIT_MS", 1_000)
    started = []

    def start(vm, vm_list=None, **options):
        client = vm_list and VmListClient(vm_list.address)
        router = RouterIdentity(vm, "dc", f"{vm}:1")
        membership = Membership(
            router, LogClient(log.address), client, removal_delay=500, **options
        )
        membership.start()
        started.append(membership)
        return membership

    yield start
    for membership in started:
        membership.stop()


def open_view_vms(membership):
    members = membership.current()
    return members and [view.vms for view in members.views]


def wait_until(condition):
    for _ in range(MAX_POLL_COUNT):
        if condition():
            return
        sleep(0.1)
    raise AssertionError("the condition was not met in time")


def wait_for_view(memberships, *vms):
    wait_until(lambda: all(open_view_vms(item) == [vms] for item in memberships))


def test_join_and_leave(start):
    a, b = start("a"), start("b")
    wait_for_view([a, b], "a", "b")
    assert b.leave(10_000)
    wait_for_view([a], "a")


def test_joiner_waits_until_members_release_shares(start):
    held_shares = [True]
    a = start("a", fits_view=lambda view: not held_shares)
    wait_for_view([a], "a")
    b = start("b")
    wait_until(b.is_member)
    sleep(1)
    assert open_view_vms(b) == [("a",), ("a", "b")]
    held_shares.clear()
    wait_for_view([a, b], "a", "b")


def test_stopped_vm_stays_until_the_vm_list_drops_it(start, vm_list):
    for vm in "abc":
        vm_list.request("POST", "/vms", json={"id": vm})
    routers = [start(vm, vm_list) for vm in "abc"]
    a, b, c = routers
    wait_for_view(routers, "a", "b", "c")
    wait_until(
        lambda: all(
            member.seen_in_vm_list for member in a.current().members_by_vm.values()
        )
    )
    c.stop()
    sleep(2)
    assert open_view_vms(a) == [("a", "b", "c")]
    vm_list.set_faults(empty=True)
    sleep(2)
    assert open_view_vms(a) == [("a", "b", "c")]
    vm_list.set_faults(empty=None)
    vm_list.request("DELETE", "/vms/c")
    wait_for_view([a, b], "a", "b")


def test_join_despite_lost_answers_and_log_outage(start, log):
    log.set_faults(lose_answers=3)
    a, b = start("a"), start("b")
    wait_for_view([a, b], "a", "b")
    log.set_faults(outage=True)
    c = start("c")
    sleep(1)
    assert open_view_vms(a) == [("a", "b")]
    log.set_faults(outage=None)
    wait_for_view([a, b, c], "a", "b", "c")


def test_start_from_a_seed_during_a_log_outage(start, log):
    a = start("a")
    wait_for_view([a], "a")
    server = PeerServer("127.0.0.1:0", "secret")
    MemberExchange(None, []).register_handler(server, a.current)
    server.start()
    log.set_faults(outage=True)
    b = start(
        "b", member_exchange=MemberExchange(PeerClient("secret"), [server.address])
    )
    wait_for_view([b], "a")
    assert not b.current().includes(b.router)
    log.set_faults(outage=None)
    wait_for_view([a, b], "a", "b")
    server.stop(0)


def test_removed_router_joins_again_with_a_new_incarnation(start, vm_list):
    for vm in "abc":
        vm_list.request("POST", "/vms", json={"id": vm})
    routers = [start(vm, vm_list) for vm in "abc"]
    wait_for_view(routers, "a", "b", "c")
    first_incarnation = routers[2].router.incarnation
    wait_until(
        lambda: all(
            member.seen_in_vm_list
            for member in routers[0].current().members_by_vm.values()
        )
    )
    vm_list.request("DELETE", "/vms/c")
    wait_until(lambda: routers[2].router.incarnation != first_incarnation)
    wait_for_view(routers, "a", "b", "c")


def test_start_from_a_requested_snapshot_after_records_expired(start, log):
    a = start("a")
    wait_for_view([a], "a")
    log.set_faults(retention=2)
    LogClient(log.address).append("members", [b"\xc0", b"\xc0"])
    b = start("b")
    wait_for_view([a, b], "a", "b")


@pytest.mark.parametrize("error", [-HOUR_MS, HOUR_MS], ids=["behind", "ahead"])
def test_requested_snapshot_is_written_whatever_the_wall_clock_says(start, log, error):
    a = start("a", clock=WrongClock(error))
    wait_for_view([a], "a")
    log.set_faults(retention=2)
    LogClient(log.address).append("members", [b"\xc0", b"\xc0"])
    b = start("b")
    wait_for_view([a, b], "a", "b")


@pytest.mark.parametrize("error", [-HOUR_MS, HOUR_MS], ids=["behind", "ahead"])
def test_wrong_wall_clock_does_not_repeat_snapshots(start, log, error):
    def count_snapshots():
        records = [
            decode_record(record.payload)
            for record in client.read("members", 0).records
        ]
        return sum(isinstance(record, MembersSnapshot) for record in records)

    client = LogClient(log.address)
    a = start("a", clock=WrongClock(error))
    wait_for_view([a], "a")
    client.append("members", [encode_record(SnapshotRequested("b"))])
    wait_until(lambda: count_snapshots() == 1)
    sleep(SNAPSHOT_REPEAT_TIME_S)
    assert count_snapshots() == 1


def test_start_without_members_when_no_snapshot_arrives(start, log):
    log.set_faults(retention=1)
    LogClient(log.address).append("members", [b"\xc0", b"\xc0"])
    a = start("a")
    wait_for_view([a], "a")
