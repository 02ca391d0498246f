"""At-most-once calls: a call is claimed in the log before it is sent.

The first valid claim of a key wins, and only the router that appended it sends the
call, once. A claim is never taken over by another router, so a pause of any length
between claim and send is safe.
"""

from secrets import token_bytes
from zlib import crc32

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import Event, Timeout, sleep, spawn_n
from mulberryhub.external.log import LogUnavailable
from mulberryhub.orders.append_retry import AppendRetryQueue
from mulberryhub.orders.claim_state import (
    history_start_ms,
    is_expired,
    is_premature,
    resolve_claims,
)
from mulberryhub.orders.idempotency import (
    NO_CREATION_TIME,
    key_creation_ms,
    scoped_key_digest,
)
from mulberryhub.orders.outcome import CallOutcome, NotSent
from mulberryhub.orders.partition import HistoryExpired, Partition
from mulberryhub.orders.records import Claim, Release, Result

# Must be the same on all routers, and must not change while any key may be repeated.
PARTITION_COUNT = 256
MAX_CACHED_RECORD_COUNT = 16_384  # over all partitions
NONCE_BYTES = 12
MAX_STORED_BODY_BYTES = 16_384
CLAIM_TIMEOUT_MS = 4_000
RESULT_TIMEOUT_MS = 500  # for which an answer waits until its result is in the log
ANSWER_TIMEOUT_MS = 10_000
IN_PROGRESS_LIMIT_MS = 45_000  # then the outcome of a call without a result is unknown
REPEAT_WAIT_MS = 1_000  # for which a repeat waits for the first call's result
POLL_INTERVAL_MS = 50
CLAIM_SUSPENSION_MS = 500  # without claims after the log was unavailable
RETRY_AFTER_MS = 2_000


class AtMostOnceCaller:
    """Runs each keyed call at most once across all routers that share the log.

    `answer_timeout_ms` limits how long a caller waits. The call itself continues
    until `send` returns, and its result is stored. `in_progress_limit_ms` is the age
    of a claim without a result from which the outcome is reported as unknown.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_counters",
        "_append_retries",
        "_partitions_by_index",
        "partition_count",
        "_answer_timeout_ms",
        "_in_progress_limit_ms",
        "_suspension_end_ms",
        "_running_count",
    )

    def __init__(
        self,
        log,
        clock,
        counters,
        partition_count=PARTITION_COUNT,
        answer_timeout_ms=ANSWER_TIMEOUT_MS,
        in_progress_limit_ms=IN_PROGRESS_LIMIT_MS,
    ):
        self._log = log
        self._clock = clock
        self._counters = counters
        self._append_retries = AppendRetryQueue(counters)
        self._partitions_by_index = {}
        self.partition_count = partition_count
        self._answer_timeout_ms = answer_timeout_ms
        self._in_progress_limit_ms = in_progress_limit_ms
        self._suspension_end_ms = 0
        self._running_count = 0

    def call(self, workspace_id, route, key, fingerprint, send):
        """Run `send` unless a call with this key may have run; return its CallOutcome.

        Where the call ran before, return the stored CallOutcome. `send` returns a
        CallOutcome, or raises NotSent where no byte was sent; any other exception means
        that the call may have run. Raise ApiError.
        """
        created_ms = key_creation_ms(key)
        claim = Claim(
            key=scoped_key_digest(workspace_id, route, key),
            nonce=token_bytes(NONCE_BYTES),
            key_time=created_ms,
            fingerprint=fingerprint,
        )
        partition = self._partition_of(claim.key)
        start_ms = self._clock.now()
        has_won, state = self._claim(partition, claim)
        if not has_won:
            return self._answer_repeat(partition, claim, state)
        if self._clock.now() - start_ms > CLAIM_TIMEOUT_MS:
            self._append_retries.add(partition, Release(claim.key, claim.nonce))
            raise self._log_unavailable_error()
        return self._send_and_wait(partition, claim, send)

    def stop(self, timeout_ms):
        """Wait for running calls to end and for queued records to reach the log."""
        deadline_ms = self._clock.now() + timeout_ms
        while self._has_pending_work() and self._clock.now() < deadline_ms:
            sleep(POLL_INTERVAL_MS / 1000)

    def _has_pending_work(self):
        return self._running_count or self._append_retries.pending_count

    def partition(self, index):
        """Return the partition with this index, from 0 to `partition_count` - 1."""
        partition = self._partitions_by_index.get(index)
        if partition is None:
            max_cached_records = max(1, MAX_CACHED_RECORD_COUNT // self.partition_count)
            partition = Partition(self._log, f"claims-{index}", max_cached_records)
            self._partitions_by_index[index] = partition
        return partition

    def _partition_of(self, key_digest):
        return self.partition(crc32(key_digest) % self.partition_count)

    def _claim(self, partition, claim):
        """Claim the key; return whether this claim won, and the ClaimState."""
        if self._clock.now() < self._suspension_end_ms:
            raise self._log_unavailable_error()
        try:
            with Timeout(
                CLAIM_TIMEOUT_MS / 1000, LogUnavailable("the claim timed out")
            ):
                return self._append_and_resolve(partition, claim)
        except HistoryExpired:
            self._append_retries.add(partition, Release(claim.key, claim.nonce))
            raise self._key_expired_error(ExecutionState.UNKNOWN)
        except LogUnavailable:
            self._suspension_end_ms = self._clock.now() + CLAIM_SUSPENSION_MS
            self._append_retries.add(partition, Release(claim.key, claim.nonce))
            raise self._log_unavailable_error()

    def _append_and_resolve(self, partition, claim):
        if partition.is_cached(claim.key):
            state = self._read_state(partition, claim)
            if state.claim is not None:
                return False, state
        try:
            offset = partition.append(claim)
        except LogUnavailable:
            # The claim may have been appended: read to the end of the stream.
            self._counters.add("retry.claim_read_back")
            offset = None
        entries = partition.read_history(
            claim.key, history_start_ms(claim.key_time), offset
        )
        self._require_present(entries, claim)
        state = resolve_claims(entries)
        if state.claim is None:
            self._raise_for_invalid_claim(entries, claim)
        has_won = state.is_held_by(claim.nonce)
        if not has_won and claim.key_time == NO_CREATION_TIME:
            # A key without a creation time has no fixed expiry. Without the release,
            # this claim would win once the first one has left the window.
            self._append_retries.add(partition, Release(claim.key, claim.nonce))
        return has_won, state

    def _require_present(self, entries, claim):
        if all(entry.record.nonce != claim.nonce for entry in entries):
            raise LogUnavailable("the claim is not in the log")

    def _raise_for_invalid_claim(self, entries, claim):
        """Raise the error for this claim where no claim of the key is in force."""
        own_entry = next(
            entry for entry in entries if entry.record.nonce == claim.nonce
        )
        if is_premature(own_entry):
            raise ApiError(
                ErrorCode.BAD_REQUEST, "the time in Idempotency-Key is to come"
            )
        if is_expired(own_entry):
            raise self._key_expired_error(ExecutionState.NOT_RUN)
        raise LogUnavailable("the claim was released")

    def _read_state(self, partition, claim):
        start_ms = history_start_ms(claim.key_time)
        return resolve_claims(partition.read_history(claim.key, start_ms))

    def _send_and_wait(self, partition, claim, send):
        """Send the call in a thread of its own and wait for its CallOutcome."""
        done = Event()
        spawn_n(self._run, partition, claim, send, done)
        outcome = done.wait(self._answer_timeout_ms / 1000)
        if outcome is None:
            raise ApiError(
                ErrorCode.UPSTREAM_SILENT,
                "the call is still running",
                ExecutionState.UNKNOWN,
                RETRY_AFTER_MS,
            )
        return outcome

    def _run(self, *arguments):
        self._running_count += 1
        try:
            self._send_and_store(*arguments)
        finally:
            self._running_count -= 1

    def _send_and_store(self, partition, claim, send, done):
        try:
            outcome = send()
        except NotSent as error:
            self._append_retries.add(partition, Release(claim.key, claim.nonce))
            done.send_exception(
                ApiError(ErrorCode.NO_UPSTREAM, str(error), retry_after=RETRY_AFTER_MS)
            )
            return
        except Exception as error:
            self._store(partition, Result(claim.key, claim.nonce, 0))
            done.send_exception(_may_have_run_error(error))
            return
        self._store(partition, _make_result(claim, outcome))
        done.send(outcome)

    def _store(self, partition, result):
        """Append a result; wait briefly for the log, so that a repeat finds it."""
        try:
            with Timeout(
                RESULT_TIMEOUT_MS / 1000, LogUnavailable("the append timed out")
            ):
                partition.append(result)
        except LogUnavailable:
            self._append_retries.add(partition, result)

    def _answer_repeat(self, partition, claim, state):
        """Return the CallOutcome of the call whose claim is in force.

        Raise ApiError where the key was used for another request, or where no
        result comes within REPEAT_WAIT_MS.
        """
        if state.claim.record.fingerprint != claim.fingerprint:
            raise ApiError(
                ErrorCode.IDEMPOTENCY_MISMATCH, "the key was used for another request"
            )
        try:
            state = self._await_result(partition, claim, state)
            if state.result is not None:
                return self._replay_outcome(partition, state.result)
        except (HistoryExpired, LogUnavailable):
            raise ApiError(
                ErrorCode.LOG_UNAVAILABLE,
                "the call was sent before; its result cannot be read now",
                ExecutionState.UNKNOWN,
                RETRY_AFTER_MS,
            )
        if state.claim is None:
            raise self._in_progress_error()
        age_ms = self._clock.wall() - state.claim.time_ms
        raise (
            self._in_progress_error()
            if age_ms < self._in_progress_limit_ms
            else _outcome_unknown_error()
        )

    def _await_result(self, partition, claim, state):
        """Return the latest ClaimState once it has a result or the wait has ended."""
        deadline_ms = self._clock.now() + REPEAT_WAIT_MS
        while state.result is None and self._clock.now() < deadline_ms:
            sleep(POLL_INTERVAL_MS / 1000)
            state = self._read_state(partition, claim)
            if state.claim is None:
                break
        return state

    def _replay_outcome(self, partition, entry):
        if entry.record.status == 0:
            raise _outcome_unknown_error()
        result = partition.read_result(entry)
        if result.body is None:
            raise ApiError(
                ErrorCode.RESULT_NOT_KEPT,
                "the call ran; its answer was too long to be kept",
                ExecutionState.RAN,
            )
        self._counters.add("orders.replayed")
        return CallOutcome(result.status, result.headers, result.body, replayed=True)

    def _in_progress_error(self):
        return ApiError(
            ErrorCode.IN_PROGRESS,
            "the call is running",
            ExecutionState.UNKNOWN,
            RETRY_AFTER_MS,
        )

    def _log_unavailable_error(self):
        return ApiError(
            ErrorCode.LOG_UNAVAILABLE,
            "the call cannot be claimed now",
            retry_after=RETRY_AFTER_MS,
        )

    def _key_expired_error(self, execution_state):
        return ApiError(
            ErrorCode.IDEMPOTENCY_KEY_EXPIRED,
            "the key is too old to be used",
            execution_state,
        )


def _outcome_unknown_error():
    return ApiError(
        ErrorCode.OUTCOME_UNKNOWN,
        "the call was sent and no answer is known",
        ExecutionState.UNKNOWN,
    )


def _may_have_run_error(error):
    """Return `error` where it says that the call may have run, else an ApiError."""
    if (
        isinstance(error, ApiError)
        and error.execution_state is not ExecutionState.NOT_RUN
    ):
        return error
    return ApiError(
        ErrorCode.UPSTREAM_FAILED, "the call broke off", ExecutionState.UNKNOWN
    )


def _make_result(claim, outcome):
    body = outcome.body if len(outcome.body) <= MAX_STORED_BODY_BYTES else None
    return Result(claim.key, claim.nonce, outcome.status, outcome.headers, body)
