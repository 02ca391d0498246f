import pytest

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import sleep, spawn
from mulberryhub.external.log import LogClient, LogUnavailable
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.changes import build_inventory_change
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.replica.freshness import MAX_CHECK_GAP_MS
from mulberryhub.replica.messages import (
    SNAPSHOT_METHOD,
    SnapshotAnswer,
    encode_snapshot,
)
from mulberryhub.replica.state import ConfigState
from tests.support.inventories import document, small_inventory
from tests.support.waiting import wait_for


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def start_replica(log, **options):
    replica = ConfigReplica(LogClient(log.address), Clock(), Counters(), **options)
    replica.start()
    return replica


def wait_until_caught_up(replica):
    wait_for(lambda: replica.is_caught_up)


def rate(replica):
    return replica.current().inventory.workspaces[0].rate


def test_apply_takes_effect_on_each_replica(log):
    first, second = start_replica(log), start_replica(log)
    wait_until_caught_up(first)
    assert first.current() is None
    offset = first.set_inventory(-1, "ana", document(rate=7))
    assert first.current().offset == offset
    wait_for(second.current)
    assert rate(second) == 7


def test_one_of_several_concurrent_changes_is_accepted(log):
    replicas = [start_replica(log) for _ in range(4)]
    for replica in replicas:
        wait_until_caught_up(replica)

    def apply_rate(replica, value):
        try:
            return replica.set_inventory(-1, "ana", document(rate=value))
        except ApiError as error:
            return error.code

    threads = [spawn(apply_rate, replica, i) for i, replica in enumerate(replicas)]
    results = [thread.wait() for thread in threads]
    assert results.count(ErrorCode.STALE_BASE) == 3
    winner = next(i for i, result in enumerate(results) if isinstance(result, int))
    for replica in replicas:
        wait_for(replica.current)
        assert rate(replica) == winner


def test_append_with_a_lost_answer_is_confirmed_by_reading_back(log):
    replica = start_replica(log)
    wait_until_caught_up(replica)
    log.set_faults(lose_answers=1)
    offset = replica.set_inventory(-1, "ana", document(rate=7))
    assert replica.current().offset == offset == 0


def test_stale_base_is_refused(log):
    replica = start_replica(log)
    wait_until_caught_up(replica)
    replica.set_inventory(-1, "ana", document())
    with pytest.raises(ApiError) as raised:
        replica.set_inventory(-1, "ana", document())
    assert raised.value.code is ErrorCode.STALE_BASE


def test_log_outage_refuses_changes_and_keeps_the_configuration(log):
    replica = start_replica(log, commit_timeout=1_500)
    wait_until_caught_up(replica)
    replica.set_inventory(-1, "ana", document(rate=7))
    log.set_faults(outage=True)
    with pytest.raises(ApiError) as raised:
        replica.set_inventory(0, "ana", document(rate=8))
    assert raised.value.code is ErrorCode.LOG_UNAVAILABLE
    assert rate(replica) == 7


class BlockableLog:
    """A log client whose reads block while `is_blocked`."""

    def __init__(self, client):
        self.client = client
        self.append = client.append
        self.is_blocked = False

    def read(self, *arguments, **options):
        page = self.client.read(*arguments, **options)
        while self.is_blocked:
            sleep(0.01)
        return page


def test_router_that_lags_behind_the_base_sets_the_whole_document(log):
    ahead = start_replica(log)
    blockable_log = BlockableLog(LogClient(log.address))
    behind = ConfigReplica(blockable_log, Clock(), Counters())
    behind.start()
    wait_until_caught_up(ahead)
    first = ahead.set_inventory(-1, "ana", document(rate=1))
    wait_for(behind.current)
    blockable_log.is_blocked = True
    base = ahead.set_inventory(first, "ana", document(rate=2))
    thread = spawn(behind.set_inventory, base, "ben", document(rate=1))
    sleep(0.3)
    blockable_log.is_blocked = False
    offset = thread.wait()
    wait_for(lambda: ahead.offset == offset)
    assert rate(ahead) == rate(behind) == 1


class UnavailableLog:
    """A log that answers nothing."""

    def read(self, *arguments, **options):
        raise LogUnavailable("outage")


def call_peer_with_snapshot(address, method, *arguments):
    """Answer as a peer that has an inventory, but only requests for its state."""
    if method != SNAPSHOT_METHOD:
        raise PeerUnavailable(address, method, "connection")
    state = ConfigState()
    state.apply(0, build_inventory_change(state, -1, "ana", small_inventory()))
    return SnapshotAnswer(encode_snapshot(state.to_snapshot()), [])


def test_router_that_is_slow_to_start_needs_no_second_answer_of_a_peer():
    clock = ManualClock()
    replica = ConfigReplica(
        UnavailableLog(),
        clock,
        Counters(),
        call=call_peer_with_snapshot,
        peer_addresses=lambda: ["vm2"],
    )
    clock.advance(MAX_CHECK_GAP_MS + 1)
    replica.start()
    wait_for(lambda: replica.is_known)
    assert replica.current() is not None
    replica.stop()
