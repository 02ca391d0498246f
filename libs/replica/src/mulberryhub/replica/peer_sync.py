"""Synchronizes withdrawals and newer states between routers.

A withdrawal is pushed to a few routers, and each of them forwards it to a few others
when it first receives it. To find withdrawals that the pushes did not deliver, each
router compares digests with one random peer every SYNC_INTERVAL_MS.
"""

from random import sample, uniform

from mulberryhub.base.green import sleep, spawn, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.messages import (
    SNAPSHOT_METHOD,
    SYNC_METHOD,
    WITHDRAW_METHOD,
    EmptyAnswer,
    SnapshotAnswer,
    SnapshotRequest,
    SyncAnswer,
    SyncRequest,
    WithdrawRequest,
    decode_snapshot,
    encode_snapshot,
)

SYNC_INTERVAL_MS = 1_000
CALL_TIMEOUT_MS = 1_000
SNAPSHOT_TIMEOUT_MS = 5_000
START_RETRY_INTERVAL_MS = 300
START_PEER_COUNT = 3
PUSH_PEER_COUNT = 8
FORWARD_PEER_COUNT = 3
MAX_BEHIND_MS = 1_000

log = module_logger(__name__)


class PeerSync:
    """Synchronizes this router's state and withdrawals with its peers.

    `call` is `PeerClient.call`, and `peer_addresses()` returns the addresses of the
    other routers that are presumed live.
    """

    __slots__ = (
        "_call",
        "_peer_addresses",
        "_clock",
        "_active_config",
        "_behind_since",
    )

    def __init__(self, call, peer_addresses, clock, active_config):
        self._call = call
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._active_config = active_config
        self._behind_since = None

    def register(self, server):
        """Register the methods that peers call with the PeerServer `server`."""
        server.register_handler(SYNC_METHOD, SyncRequest, self._answer_sync)
        server.register_handler(WITHDRAW_METHOD, WithdrawRequest, self._answer_withdraw)
        server.register_handler(SNAPSHOT_METHOD, SnapshotRequest, self._answer_snapshot)

    def run(self):
        """Fetch the initial state from peers, then compare with random peers forever.

        The initial fetch ends once the state is known, from a peer or from the log.
        """
        while not self._active_config.is_known:
            self._fetch_initial_state()
            if not self._active_config.is_known:
                sleep(START_RETRY_INTERVAL_MS / 1000)
        while True:
            self._sync_with_random_peer()
            sleep(uniform(0.8, 1.2) * SYNC_INTERVAL_MS / 1000)

    def push(self, records, peer_count=PUSH_PEER_COUNT):
        """Send withdrawals to `peer_count` random peers, without waiting."""
        for address in self._sample_peers(peer_count):
            spawn_n(
                self._call_peer,
                address,
                WITHDRAW_METHOD,
                WithdrawRequest(records),
                EmptyAnswer,
            )

    def _sample_peers(self, count):
        addresses = list(self._peer_addresses())
        return sample(addresses, min(count, len(addresses)))

    def _call_peer(
        self, address, method, message, response_type, timeout=CALL_TIMEOUT_MS
    ):
        """Return the answer of a peer, or None if the call failed."""
        try:
            return self._call(address, method, message, response_type, timeout)
        except PeerUnavailable as error:
            log.debug("{}", error)
            return None

    def _fetch_initial_state(self):
        """Make the newest state of a few peers the active configuration."""
        addresses = self._sample_peers(START_PEER_COUNT)
        threads = [spawn(self._fetch_state, address) for address in addresses]
        for thread in threads:
            thread.wait()
        self._active_config.publish_restored()

    def _fetch_state(self, address):
        request = SnapshotRequest(self._active_config.state.position)
        answer = self._call_peer(
            address, SNAPSHOT_METHOD, request, SnapshotAnswer, SNAPSHOT_TIMEOUT_MS
        )
        if answer is None:
            return
        self._withdraw_and_forward(answer.pending)
        snapshot = decode_snapshot(answer.data) if answer.data else None
        if snapshot is not None:
            self._active_config.restore_peer_snapshot(snapshot)

    def _sync_with_random_peer(self):
        active_config = self._active_config
        active_config.freshness.check()
        for address in self._sample_peers(1):
            request_time = self._clock.now()
            digest = active_config.pending.digest()
            request = SyncRequest(active_config.state.offset, digest)
            answer = self._call_peer(address, SYNC_METHOD, request, SyncAnswer)
            if answer is not None:
                self._apply_sync_answer(address, answer, request_time)

    def _apply_sync_answer(self, address, answer, request_time):
        active_config = self._active_config
        is_confirmed = active_config.freshness.check()
        self._exchange_pending(address, answer)
        if self._is_long_behind(answer.offset) or not is_confirmed:
            self._catch_up(address, answer.offset)
        if answer.is_fresh and active_config.state.offset >= answer.offset:
            active_config.freshness.confirm(request_time)

    def _exchange_pending(self, address, answer):
        """Apply the peer's pending withdrawals, and send it those that it lacks."""
        if answer.digest == self._active_config.pending.digest():
            return
        self._withdraw_and_forward(answer.pending)
        peer_hashes = {record.key_hash for record in answer.pending}
        own_records = self._active_config.pending.records_by_hash.values()
        missing = [
            record for record in own_records if record.key_hash not in peer_hashes
        ]
        if missing:
            self._call_peer(
                address, WITHDRAW_METHOD, WithdrawRequest(missing), EmptyAnswer
            )

    def _is_long_behind(self, offset):
        """Return whether peers have been ahead for at least MAX_BEHIND_MS."""
        if offset <= self._active_config.state.offset:
            self._behind_since = None
            return False
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= MAX_BEHIND_MS

    def _catch_up(self, address, offset):
        if offset > self._active_config.state.offset:
            self._fetch_state(address)
            self._active_config.publish_restored()

    def _withdraw_and_forward(self, records):
        """Refuse the keys of `records`, and push the new records to other peers."""
        new = self._active_config.withdraw(records)
        if new:
            self.push(new, FORWARD_PEER_COUNT)

    def _answer_sync(self, request):
        active_config = self._active_config
        digest = active_config.pending.digest()
        pending = []
        if digest != request.digest:
            pending = list(active_config.pending.records_by_hash.values())
        is_fresh = active_config.is_known and active_config.freshness.check()
        return SyncAnswer(active_config.state.offset, digest, is_fresh, pending)

    def _answer_withdraw(self, request):
        self._withdraw_and_forward(request.pending)
        return EmptyAnswer()

    def _answer_snapshot(self, request):
        active_config = self._active_config
        state = active_config.state
        data = None
        is_usable = active_config.is_known and active_config.freshness.check()
        if is_usable and state.position > request.position:
            data = encode_snapshot(state.to_snapshot())
        return SnapshotAnswer(
            data, list(active_config.pending.records_by_hash.values())
        )
