"""Passes withdrawals and newer states between routers.

A withdrawal is pushed to a few routers, which push it on once. What a push missed
is found by comparing digests with one random router every SYNC_INTERVAL.
"""

from random import sample, uniform

from mulberryhub.base.green import sleep, spawn, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.messages import (
    SNAPSHOT,
    SYNC,
    WITHDRAW,
    Done,
    SnapshotAnswer,
    SnapshotRequest,
    SyncAnswer,
    SyncRequest,
    WithdrawRequest,
    pack,
    unpack,
)

SYNC_INTERVAL = 1_000  # ms
CALL_TIMEOUT = 1_000  # ms
SNAPSHOT_TIMEOUT = 5_000  # ms
START_INTERVAL = 300  # ms
START_PEERS = 3
FIRST_FANOUT = 8
FORWARD_FANOUT = 3
BEHIND_LIMIT = 1_000  # ms

log = module_logger(__name__)


class PeerSync:
    """Keeps this router's state and withdrawals in step with its peers'.

    `call` is `PeerClient.call`, and `peer_addresses()` gives the addresses of the
    other routers that are believed to be live.
    """

    __slots__ = ("_call", "_peer_addresses", "_clock", "_in_force", "_behind_since")

    def __init__(self, call, peer_addresses, clock, in_force):
        self._call = call
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._in_force = in_force
        self._behind_since = None

    def register(self, server):
        """Serve the methods that peers call."""
        server.serve(SYNC, SyncRequest, self._answer_sync)
        server.serve(WITHDRAW, WithdrawRequest, self._answer_withdraw)
        server.serve(SNAPSHOT, SnapshotRequest, self._answer_snapshot)

    def run(self):
        """Fetch the state from peers, then compare with one of them at a time."""
        while not self._in_force.is_known:
            self._fetch_from_some()
            if not self._in_force.is_known:
                sleep(START_INTERVAL / 1000)
        while True:
            self._sync_with_one()
            sleep(uniform(0.8, 1.2) * SYNC_INTERVAL / 1000)

    def push(self, records, fanout=FIRST_FANOUT):
        """Send withdrawals to `fanout` random peers, without waiting."""
        for address in self._pick(fanout):
            spawn_n(self._try, address, WITHDRAW, WithdrawRequest(records), Done)

    def _pick(self, count):
        addresses = list(self._peer_addresses())
        return sample(addresses, min(count, len(addresses)))

    def _try(self, address, method, message, answer_type, timeout=CALL_TIMEOUT):
        """Return the answer of a peer, or None where there is none."""
        try:
            return self._call(address, method, message, answer_type, timeout)
        except PeerUnavailable as error:
            log.debug("{}", error)
            return None

    def _fetch_from_some(self):
        """Take the newest state of a few peers and put it in force."""
        peers = self._pick(START_PEERS)
        threads = [spawn(self._fetch_from, address) for address in peers]
        for thread in threads:
            thread.wait()
        self._in_force.publish_adopted()

    def _fetch_from(self, address):
        request = SnapshotRequest(self._in_force.state.position)
        answer = self._try(address, SNAPSHOT, request, SnapshotAnswer, SNAPSHOT_TIMEOUT)
        if answer is None:
            return
        self._learn(answer.pending)
        snapshot = unpack(answer.data) if answer.data else None
        if snapshot is not None:
            self._in_force.adopt(snapshot)

    def _sync_with_one(self):
        in_force = self._in_force
        in_force.freshness.check()
        for address in self._pick(1):
            asked = self._clock.now()
            digest = in_force.pending.digest()
            request = SyncRequest(in_force.state.offset, digest)
            answer = self._try(address, SYNC, request, SyncAnswer)
            if answer is not None:
                self._take_answer(address, answer, asked)

    def _take_answer(self, address, answer, asked):
        in_force = self._in_force
        is_confirmed = in_force.freshness.check()
        self._compare_pending(address, answer)
        if self._is_long_behind(answer.offset) or not is_confirmed:
            self._catch_up(address, answer.offset)
        if answer.fresh and in_force.state.offset >= answer.offset:
            in_force.freshness.confirm(asked)

    def _compare_pending(self, address, answer):
        if answer.digest == self._in_force.pending.digest():
            return
        self._learn(answer.pending)
        theirs = {record.hash for record in answer.pending}
        own = self._in_force.pending.records_by_hash.values()
        missing = [record for record in own if record.hash not in theirs]
        if missing:
            self._try(address, WITHDRAW, WithdrawRequest(missing), Done)

    def _is_long_behind(self, offset):
        """Return whether peers have been ahead of this router for a while."""
        if offset <= self._in_force.state.offset:
            self._behind_since = None
            return False
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= BEHIND_LIMIT

    def _catch_up(self, address, offset):
        if offset > self._in_force.state.offset:
            self._fetch_from(address)
            self._in_force.publish_adopted()

    def _learn(self, records):
        """Refuse the keys of `records`, and pass on what is new."""
        new = self._in_force.withdraw(records)
        if new:
            self.push(new, FORWARD_FANOUT)

    def _answer_sync(self, request):
        in_force = self._in_force
        digest = in_force.pending.digest()
        pending = []
        if digest != request.digest:
            pending = list(in_force.pending.records_by_hash.values())
        is_fresh = in_force.is_known and in_force.freshness.check()
        return SyncAnswer(in_force.state.offset, digest, is_fresh, pending)

    def _answer_withdraw(self, request):
        self._learn(request.pending)
        return Done()

    def _answer_snapshot(self, request):
        in_force = self._in_force
        state = in_force.state
        data = None
        is_usable = in_force.is_known and in_force.freshness.check()
        if is_usable and state.position > request.position:
            data = pack(state.to_snapshot())
        return SnapshotAnswer(data, list(in_force.pending.records_by_hash.values()))
