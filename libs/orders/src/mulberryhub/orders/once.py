"""Calls that run at most once: claimed in the log before they are sent.

The first valid claim of a key wins. Only the router that made it sends the
call, once. No claim is taken over, so a router may be paused for any time
between its claim and its send.
"""

from secrets import token_bytes
from zlib import crc32

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import Event, Timeout, sleep, spawn_n
from mulberryhub.external.log import LogUnavailable
from mulberryhub.orders.idempotency import NO_TIME, key_time, scoped_digest
from mulberryhub.orders.keeper import Keeper
from mulberryhub.orders.outcome import NotSent, Outcome
from mulberryhub.orders.partition import HistoryExpired, Partition
from mulberryhub.orders.records import Claim, Release, Result
from mulberryhub.orders.standing import (
    history_start,
    is_early,
    is_late,
    standing_of,
)

PARTITIONS = 256  # the same on all routers, for as long as any key may be repeated
CACHED_RECORDS = 16_384  # over all partitions
NONCE_BYTES = 12
MAX_KEPT_BODY = 16_384  # bytes
CLAIM_TIMEOUT = 4_000  # ms
RESULT_TIMEOUT = 500  # ms that an answer waits for the log to keep it
ANSWER_TIMEOUT = 10_000  # ms
PROGRESS_LIMIT = 45_000  # ms after which a call without a result counts as lost
REPEAT_WAIT = 1_000  # ms that a repeat waits for the first call's answer
REPEAT_PAUSE = 50  # ms
OUTAGE_PAUSE = 500  # ms without claims after the log failed
RETRY_AFTER = 2_000  # ms


class OnceCaller:
    """Runs each keyed call at most once over all routers that share the log.

    `answer_timeout` is how long a caller waits; the call itself goes on for as
    long as `send` does, and its result is kept.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_counters",
        "_keeper",
        "_partitions_by_index",
        "partitions",
        "_answer_timeout",
        "_progress_limit",
        "_outage_end",
        "_running",
    )

    def __init__(
        self,
        log,
        clock,
        counters,
        partitions=PARTITIONS,
        answer_timeout=ANSWER_TIMEOUT,
        progress_limit=PROGRESS_LIMIT,
    ):
        self._log = log
        self._clock = clock
        self._counters = counters
        self._keeper = Keeper(counters)
        self._partitions_by_index = {}
        self.partitions = partitions
        self._answer_timeout = answer_timeout
        self._progress_limit = progress_limit
        self._outage_end = 0
        self._running = 0

    def call(self, workspace_id, route, key, fingerprint, send):
        """Run `send` unless a call with this key ran before; return its Outcome.

        `send` returns an Outcome, or raises NotSent where no byte has left; any
        other error means that the call may have run. Raise HubError.
        """
        created = key_time(key)
        claim = Claim(
            key=scoped_digest(workspace_id, route, key),
            nonce=token_bytes(NONCE_BYTES),
            key_time=created,
            fingerprint=fingerprint,
        )
        partition = self._partition(claim.key)
        started = self._clock.now()
        won, standing = self._claim(partition, claim)
        if not won:
            return self._repeat(partition, claim, standing)
        if self._clock.now() - started > CLAIM_TIMEOUT:
            self._keeper.keep(partition, Release(claim.key, claim.nonce))
            raise self._log_unavailable()
        return self._first(partition, claim, send)

    def stop(self, timeout):
        """Wait up to `timeout` ms for calls that run and results to be kept."""
        deadline = self._clock.now() + timeout
        while self._busy() and self._clock.now() < deadline:
            sleep(REPEAT_PAUSE / 1000)

    def _busy(self):
        return self._running or self._keeper.waiting

    def partition(self, index):
        """Return the partition with this index."""
        partition = self._partitions_by_index.get(index)
        if partition is None:
            cached = max(1, CACHED_RECORDS // self.partitions)
            partition = Partition(self._log, f"claims-{index}", cached)
            self._partitions_by_index[index] = partition
        return partition

    def _partition(self, key):
        return self.partition(crc32(key) % self.partitions)

    def _claim(self, partition, claim):
        """Return whether this claim won, with the key's Standing."""
        if self._clock.now() < self._outage_end:
            raise self._log_unavailable()
        try:
            with Timeout(CLAIM_TIMEOUT / 1000, LogUnavailable("too slow")):
                return self._claim_in_time(partition, claim)
        except HistoryExpired:
            self._keeper.keep(partition, Release(claim.key, claim.nonce))
            raise self._expired(Ran.UNKNOWN)
        except LogUnavailable:
            self._outage_end = self._clock.now() + OUTAGE_PAUSE
            self._keeper.keep(partition, Release(claim.key, claim.nonce))
            raise self._log_unavailable()

    def _claim_in_time(self, partition, claim):
        if partition.knows(claim.key):
            standing = self._standing(partition, claim)
            if standing.claim is not None:
                return False, standing
        try:
            end = partition.append(claim)
        except LogUnavailable:
            self._counters.add("retry.claim_read_back")
            end = None
        entries = partition.history(claim.key, history_start(claim.key_time), end)
        self._require_present(entries, claim)
        standing = standing_of(entries)
        if standing.claim is None:
            self._refuse_invalid(entries, claim)
        won = standing.held_by(claim.nonce)
        if not won and claim.key_time == NO_TIME:
            # Else it would stand for the first call once that is out of the window.
            self._keeper.keep(partition, Release(claim.key, claim.nonce))
        return won, standing

    def _require_present(self, entries, claim):
        if all(entry.record.nonce != claim.nonce for entry in entries):
            raise LogUnavailable("the claim is not in the log")

    def _refuse_invalid(self, entries, claim):
        """Refuse a claim outside its key's time; no other claim is in force."""
        own = next(entry for entry in entries if entry.record.nonce == claim.nonce)
        if is_early(own):
            raise HubError(Code.BAD_REQUEST, "the time in Idempotency-Key is to come")
        if is_late(own):
            raise self._expired(Ran.NOT_RUN)
        raise LogUnavailable("the claim was released")

    def _standing(self, partition, claim):
        start = history_start(claim.key_time)
        return standing_of(partition.history(claim.key, start))

    def _first(self, partition, claim, send):
        """Send the call and wait for its answer."""
        done = Event()
        spawn_n(self._run, partition, claim, send, done)
        answer = done.wait(self._answer_timeout / 1000)
        if answer is None:
            raise HubError(
                Code.UPSTREAM_SILENT,
                "the call is still running",
                Ran.UNKNOWN,
                RETRY_AFTER,
            )
        return answer

    def _run(self, *arguments):
        self._running += 1
        try:
            self._send(*arguments)
        finally:
            self._running -= 1

    def _send(self, partition, claim, send, done):
        try:
            outcome = send()
        except NotSent as error:
            self._keeper.keep(partition, Release(claim.key, claim.nonce))
            done.send_exception(
                HubError(Code.NO_UPSTREAM, str(error), retry_after=RETRY_AFTER)
            )
            return
        except Exception as error:
            self._save(partition, Result(claim.key, claim.nonce, 0))
            done.send_exception(_maybe_ran(error))
            return
        self._save(partition, _result(claim, outcome))
        done.send(outcome)

    def _save(self, partition, result):
        """Keep a result; wait for the log a little, so that a repeat finds it."""
        try:
            with Timeout(RESULT_TIMEOUT / 1000, LogUnavailable("too slow")):
                partition.append(result)
        except LogUnavailable:
            self._keeper.keep(partition, result)

    def _repeat(self, partition, claim, standing):
        """Return the answer to the call that holds the key, if it comes soon."""
        if standing.claim.record.fingerprint != claim.fingerprint:
            raise HubError(
                Code.IDEMPOTENCY_MISMATCH, "the key was used for another request"
            )
        try:
            standing = self._await_result(partition, claim, standing)
            if standing.result is not None:
                return self._replay(partition, standing.result)
        except (HistoryExpired, LogUnavailable):
            raise HubError(
                Code.LOG_UNAVAILABLE,
                "the call was sent before; its result cannot be read now",
                Ran.UNKNOWN,
                RETRY_AFTER,
            )
        if standing.claim is None:
            raise self._in_progress()
        age = self._clock.wall() - standing.claim.time
        raise self._in_progress() if age < self._progress_limit else _lost()

    def _await_result(self, partition, claim, standing):
        deadline = self._clock.now() + REPEAT_WAIT
        while standing.result is None and self._clock.now() < deadline:
            sleep(REPEAT_PAUSE / 1000)
            standing = self._standing(partition, claim)
            if standing.claim is None:
                break
        return standing

    def _replay(self, partition, entry):
        if entry.record.status == 0:
            raise _lost()
        result = partition.result(entry)
        if result.body is None:
            raise HubError(
                Code.RESULT_NOT_KEPT,
                "the call ran; its answer was too long to be kept",
                Ran.RAN,
            )
        self._counters.add("orders.replayed")
        return Outcome(result.status, result.headers, result.body, replayed=True)

    def _in_progress(self):
        return HubError(
            Code.IN_PROGRESS, "the call is running", Ran.UNKNOWN, RETRY_AFTER
        )

    def _log_unavailable(self):
        return HubError(
            Code.LOG_UNAVAILABLE,
            "the call cannot be claimed now",
            retry_after=RETRY_AFTER,
        )

    def _expired(self, ran):
        return HubError(
            Code.IDEMPOTENCY_KEY_EXPIRED, "the key is too old to be used", ran
        )


def _lost():
    return HubError(
        Code.OUTCOME_UNKNOWN, "the call was sent and no answer is known", Ran.UNKNOWN
    )


def _maybe_ran(error):
    if isinstance(error, HubError) and error.ran is not Ran.NOT_RUN:
        return error
    return HubError(Code.UPSTREAM_FAILED, "the call broke off", Ran.UNKNOWN)


def _result(claim, outcome):
    body = outcome.body if len(outcome.body) <= MAX_KEPT_BODY else None
    return Result(claim.key, claim.nonce, outcome.status, outcome.headers, body)
