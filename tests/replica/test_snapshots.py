import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.base.green import sleep
from mulberryhub.external.log import LogClient
from mulberryhub.replica import snapshots
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.replica.records import (
    CONFIG_STREAM,
    ConfigSnapshot,
    decode_record,
    encode_record,
)
from mulberryhub.replica.snapshots import MAX_SNAPSHOT_AGE_MS
from tests.support.inventories import document
from tests.support.waiting import wait_for

UNKNOWN_RECORD = b'{"kind": "newer"}'


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def start_replica(log, clock=None):
    replica = ConfigReplica(LogClient(log.address), clock or Clock(), Counters())
    replica.start()
    wait_for(lambda: replica.is_caught_up)
    return replica


def append_other_records(log, count):
    LogClient(log.address).append(CONFIG_STREAM, [b"other"] * count)


def read_bounds(log):
    return LogClient(log.address).read(CONFIG_STREAM, 1_000_000)


def is_covered(log, replica):
    """Return whether the replica read all records and a snapshot covers enough.

    It must still cover the retained records after 6 more of them expire.
    """
    page = read_bounds(log)
    is_read = replica.status().position == page.end
    covered = replica._active_config.replayer.snapshot_position
    return is_read and (page.oldest == 0 or covered >= page.oldest + 6)


def test_snapshots_keep_the_state_after_its_records_expire(log):
    log.set_faults(retention=20)
    replicas = [start_replica(log) for _ in range(3)]
    replicas[0].set_inventory(-1, "ana", document(rate=7))
    replicas[0].withdraw_key("ana", key_hash("caller-key"))
    for _ in range(6):
        append_other_records(log, 12)
        wait_for(lambda: is_covered(log, replicas[0]))
    assert read_bounds(log).oldest > replicas[0].offset + 1
    started = start_replica(log)
    assert started.current().inventory.workspaces[0].rate == 7
    assert started.current().keys_by_hash == {}
    assert started.offset == replicas[0].offset
    assert started.history == replicas[0].history


def test_snapshot_replaces_records_that_expired_during_an_outage(log):
    log.set_faults(retention=5)
    replica = start_replica(log)
    replica.set_inventory(-1, "ana", document(rate=7))
    log.set_faults(outage=True)
    wait_for(lambda: not replica.status().log_readable)
    log.set_faults(outage=None)
    wait_for(lambda: replica.status().log_readable)
    append_other_records(log, 4)
    wait_for(lambda: replica.status().position >= 5)
    append_other_records(log, 5)
    wait_for(
        lambda: LogClient(log.address).read(CONFIG_STREAM, 11, wait=1_000).end > 10
    )
    started = start_replica(log)
    assert started.current().inventory.workspaces[0].rate == 7


def test_router_that_read_unknown_records_writes_no_snapshot(log):
    log.set_faults(retention=5)
    replica = start_replica(log)
    replica.set_inventory(-1, "ana", document())
    LogClient(log.address).append(CONFIG_STREAM, [UNKNOWN_RECORD])
    append_other_records(log, 4)
    wait_for(lambda: replica.status().position == 6)
    append_other_records(log, 4)
    wait_for(lambda: replica.status().position == 10)
    assert LogClient(log.address).read(CONFIG_STREAM, 10, wait=1_500).records == []


def test_repeated_and_outdated_snapshots_are_harmless(log):
    replica = start_replica(log)
    replica.set_inventory(-1, "ana", document(rate=7))
    client = LogClient(log.address)
    snapshot = encode_record(replica._active_config.state.to_snapshot())
    replica.set_inventory(0, "ana", document(rate=8))
    client.append(CONFIG_STREAM, [snapshot, snapshot])
    wait_for(lambda: replica.status().position == 4)
    assert replica.current().inventory.workspaces[0].rate == 8
    assert start_replica(log).current().inventory.workspaces[0].rate == 8


class WrongClock(Clock):
    """A clock whose wall time is off by `error` ms."""

    __slots__ = ("error",)

    def __init__(self, error):
        self.error = error

    def wall(self):
        return super().wall() + self.error


def count_snapshots(log):
    page = LogClient(log.address).read(CONFIG_STREAM, 0)
    records = [decode_record(record.payload) for record in page.records]
    return sum(isinstance(record, ConfigSnapshot) for record in records)


@pytest.mark.parametrize(
    "error, count",
    [(-2 * MAX_SNAPSHOT_AGE_MS, 0), (2 * MAX_SNAPSHOT_AGE_MS, 1)],
    ids=["behind", "ahead"],
)
def test_wrong_wall_clock_calls_for_one_snapshot_at_most(
    log, monkeypatch, error, count
):
    monkeypatch.setattr(snapshots, "MAX_DELAY_MS", 10)
    replica = start_replica(log, WrongClock(error))
    replica.set_inventory(-1, "ana", document(rate=7))
    for _ in range(5):
        append_other_records(log, 1)
        end = read_bounds(log).end
        wait_for(lambda end=end: replica.status().position >= end)
    sleep(1)
    assert count_snapshots(log) == count


def test_snapshot_is_written_after_its_time(log, monkeypatch):
    monkeypatch.setattr(snapshots, "MAX_DELAY_MS", 10)
    monkeypatch.setattr(snapshots, "MAX_SNAPSHOT_AGE_MS", 500)
    replica = start_replica(log)
    replica.set_inventory(-1, "ana", document(rate=7))
    sleep(0.6)
    append_other_records(log, 1)
    wait_for(lambda: count_snapshots(log) >= 1)
