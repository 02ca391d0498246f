import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.external.log import LogClient
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.replica.records import STREAM, encode
from tests.support.inventories import document
from tests.support.waiting import wait_for

NEWER = b'{"kind": "newer"}'


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def start_replica(log):
    replica = ConfigReplica(LogClient(log.address), Clock(), Counters())
    replica.start()
    wait_for(lambda: replica.is_caught_up)
    return replica


def fill(log, count):
    LogClient(log.address).append(STREAM, [b"other"] * count)


def bounds(log):
    return LogClient(log.address).read(STREAM, 1_000_000)


def is_covered(log, replica):
    """Return whether all was read, and the log rebuilds it once 6 more expire."""
    page = bounds(log)
    is_read = replica.status().position == page.end
    covered = replica._in_force.replayer.snapshot_position
    return is_read and (page.oldest == 0 or covered >= page.oldest + 6)


def test_state_outlives_the_retention_of_its_records(log):
    log.fault(retention=20)
    replicas = [start_replica(log) for _ in range(3)]
    replicas[0].apply(-1, "ana", document(rate=7))
    replicas[0].withdraw_key("ana", key_hash("caller-key"))
    for _ in range(6):
        fill(log, 12)
        wait_for(lambda: is_covered(log, replicas[0]))
    assert bounds(log).oldest > replicas[0].offset + 1
    started = start_replica(log)
    assert started.current().inventory.workspaces[0].rate == 7
    assert started.current().keys_by_hash == {}
    assert started.offset == replicas[0].offset
    assert started.history == replicas[0].history


def test_records_that_expire_while_reads_fail_are_written_again(log):
    log.fault(retention=5)
    replica = start_replica(log)
    replica.apply(-1, "ana", document(rate=7))
    log.fault(outage=True)
    wait_for(lambda: not replica.status().log_readable)
    log.fault(outage=None)
    wait_for(lambda: replica.status().log_readable)
    fill(log, 4)
    wait_for(lambda: replica.status().position >= 5)
    fill(log, 5)
    wait_for(lambda: LogClient(log.address).read(STREAM, 11, wait=1_000).end > 10)
    started = start_replica(log)
    assert started.current().inventory.workspaces[0].rate == 7


def test_router_that_met_newer_records_writes_no_snapshot(log):
    log.fault(retention=5)
    replica = start_replica(log)
    replica.apply(-1, "ana", document())
    LogClient(log.address).append(STREAM, [NEWER])
    fill(log, 4)
    wait_for(lambda: replica.status().position == 6)
    fill(log, 4)
    wait_for(lambda: replica.status().position == 10)
    assert LogClient(log.address).read(STREAM, 10, wait=1_500).records == []


def test_repeated_and_foreign_snapshots_are_harmless(log):
    replica = start_replica(log)
    replica.apply(-1, "ana", document(rate=7))
    client = LogClient(log.address)
    snapshot = encode(replica._in_force.state.to_snapshot())
    replica.apply(0, "ana", document(rate=8))
    client.append(STREAM, [snapshot, snapshot])
    wait_for(lambda: replica.status().position == 4)
    assert replica.current().inventory.workspaces[0].rate == 8
    assert start_replica(log).current().inventory.workspaces[0].rate == 8
