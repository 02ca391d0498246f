import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.external.log import LogClient
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.replica.messages import SNAPSHOT_METHOD, WITHDRAW_METHOD
from tests.support.inventories import document
from tests.support.peers import LocalPeers
from tests.support.waiting import wait_for

KEY = key_hash("caller-key")


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


@pytest.fixture
def peers():
    return LocalPeers()


@pytest.fixture
def start(log, peers):
    replicas = []

    def start(address):
        replica = ConfigReplica(
            LogClient(log.address),
            Clock(),
            Counters(),
            call=peers.caller(address),
            peer_addresses=lambda: [
                other for other in peers.handlers_by_address if other != address
            ],
            vm=address,
            commit_timeout=3_000,
        )
        replica.register(peers.server(address))
        replica.start()
        replicas.append(replica)
        return replica

    yield start
    for replica in replicas:
        replica.stop()


def start_with_inventory(start, count):
    replicas = [start(f"r{i}") for i in range(count)]
    wait_for(lambda: replicas[0].is_caught_up)
    replicas[0].set_inventory(-1, "ana", document())
    wait_for(lambda: all(has_key(replica) for replica in replicas))
    return replicas


def has_key(replica):
    view = replica.current()
    return view is not None and KEY in view.keys_by_hash


def has_withdrawn(replica):
    return KEY in replica.current().withdrawn_hashes


def test_withdrawal_spreads_while_the_log_is_down(log, start):
    replicas = start_with_inventory(start, 12)
    log.set_faults(outage=True)
    withdrawal = replicas[3].withdraw_key("ana", KEY)
    assert not withdrawal.is_logged
    wait_for(lambda: all(map(has_withdrawn, replicas)), timeout=5_000)
    assert not any(map(has_key, replicas))


def test_withdrawal_spreads_when_pushes_are_lost(log, peers, start):
    replicas = start_with_inventory(start, 6)
    log.set_faults(outage=True)
    peers.lost_methods.add(WITHDRAW_METHOD)
    replicas[0].withdraw_key("ana", KEY)
    wait_for(lambda: all(map(has_withdrawn, replicas)), timeout=20_000)


def test_withdrawal_is_appended_once_the_log_is_back(log, start):
    replicas = start_with_inventory(start, 3)
    log.set_faults(outage=True)
    replicas[0].withdraw_key("ana", KEY)
    log.set_faults(outage=None)
    wait_for(lambda: all(replica.status().pending == 0 for replica in replicas))
    assert all(map(has_withdrawn, replicas))
    replicas[1].set_inventory(replicas[1].offset, "ben", document(rate=3))
    assert not any(map(has_key, replicas))


def test_peer_appends_the_withdrawal_of_a_stopped_router(log, start):
    replicas = start_with_inventory(start, 3)
    log.set_faults(outage=True)
    replicas[0].withdraw_key("ana", KEY)
    wait_for(lambda: all(map(has_withdrawn, replicas)))
    replicas[0].stop()
    log.set_faults(outage=None)
    wait_for(lambda: replicas[1].status().pending == 0, timeout=40_000)


def test_start_from_peers_while_the_log_is_down(log, start):
    replicas = start_with_inventory(start, 3)
    log.set_faults(outage=True)
    replicas[0].withdraw_key("ana", KEY)
    wait_for(lambda: all(map(has_withdrawn, replicas)))
    started = start("new")
    wait_for(started.current)
    assert started.current().offset == replicas[0].offset
    assert has_withdrawn(started)


def test_many_routers_start_from_one_peer_at_once(log, start):
    old = start_with_inventory(start, 1)[0]
    log.set_faults(outage=True)
    started = [start(f"new{i}") for i in range(8)]
    wait_for(lambda: all(replica.current() for replica in started))
    assert {replica.offset for replica in started} == {old.offset}


def test_no_configuration_is_active_without_log_and_peers(log, peers, start):
    log.set_faults(outage=True)
    replica = start("alone")
    wait_for(lambda: replica.status().log_readable is False)
    assert replica.current() is None


def test_router_that_cannot_reach_the_log_follows_its_peers(log, peers, start):
    replicas = start_with_inventory(start, 2)
    isolated = ConfigReplica(
        LogClient("127.0.0.1:1"),
        Clock(),
        Counters(),
        call=peers.caller("isolated"),
        peer_addresses=lambda: ["r0", "r1"],
    )
    isolated.start()
    wait_for(isolated.current)
    offset = replicas[0].set_inventory(0, "ana", document(rate=9))
    wait_for(lambda: isolated.offset == offset)
    assert isolated.current().inventory.workspaces[0].rate == 9
    isolated.stop()


def test_start_uses_the_log_when_no_peer_answers(peers, start):
    start_with_inventory(start, 2)
    peers.lost_methods.add(SNAPSHOT_METHOD)
    started = start("new")
    wait_for(started.current)
    assert has_key(started)
