"""Appends changes to the log; a change counts once it was read back."""

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import Event, sleep
from mulberryhub.external.log import LogUnavailable
from mulberryhub.replica.records import STREAM, Outcome, encode

APPEND_TIMEOUT = 5_000  # ms
READ_BACK_TIMEOUT = 1_000  # ms
BASE_TIMEOUT = 2_000  # ms
BASE_POLL = 20  # ms
RETRY_AFTER = 1_000  # ms
FLUSH_INTERVAL = 500  # ms
FLUSH_BATCH = 100


class Committer:
    """Appends records and waits until they are read back; `timeout` is in ms."""

    __slots__ = ("_log", "_clock", "_counters", "_in_force", "_timeout")

    def __init__(self, log_client, clock, counters, in_force, timeout):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._in_force = in_force
        self._timeout = timeout

    def wait_for_base(self, base):
        """Wait until the log was read past the offset `base`, or raise HubError."""
        deadline = self._clock.now() + BASE_TIMEOUT
        while self._in_force.state.position <= base:
            if self._clock.now() >= deadline:
                raise HubError(
                    Code.NOT_READY,
                    f"this router has not read the log up to offset {base}",
                    retry_after=RETRY_AFTER,
                )
            sleep(BASE_POLL / 1000)

    def commit(self, record):
        """Append `record` and return its offset, or raise HubError."""
        if not self._in_force.is_caught_up:
            raise HubError(
                Code.NOT_READY,
                "the configuration in force is not known yet",
                retry_after=RETRY_AFTER,
            )
        if self._in_force.state.is_stale(record.base):
            raise self._stale()
        outcome, offset = self._append_until_read(record, self._timeout)
        if outcome is Outcome.STALE:
            raise self._stale()
        if outcome is not Outcome.ACCEPTED:
            raise HubError(Code.BAD_REQUEST, "the change was refused on replay")
        return offset

    def keep(self, record, timeout):
        """Append a withdrawal; return its offset, or None where that is not sure."""
        try:
            return self._append_until_read(record, timeout)[1]
        except HubError:
            return None

    def flush(self):
        """Append pending withdrawals for as long as the router runs."""
        while True:
            sleep(FLUSH_INTERVAL / 1000)
            due = self._in_force.pending.take_due(self._clock.now())
            for first in range(0, len(due), FLUSH_BATCH):
                self._try_append(due[first : first + FLUSH_BATCH])

    def _append_until_read(self, record, timeout):
        """Append until the record comes back in the log; repeats are harmless."""
        event = Event()
        self._in_force.wait_for(record.change, event)
        deadline = self._clock.now() + timeout
        is_appended = False
        try:
            while self._clock.now() < deadline:
                if not is_appended:
                    left = max(1, deadline - self._clock.now())
                    is_appended = self._try_append([record], min(left, APPEND_TIMEOUT))
                result = event.wait(READ_BACK_TIMEOUT / 1000)
                if result is not None:
                    return result
        finally:
            self._in_force.forget(record.change)
        raise HubError(
            Code.LOG_UNAVAILABLE,
            "the log does not answer; the change may still come into force",
            ran=Ran.UNKNOWN,
            retry_after=timeout,
        )

    def _try_append(self, records, timeout=APPEND_TIMEOUT):
        payloads = [encode(record) for record in records]
        try:
            self._log.append(STREAM, payloads, timeout)
        except LogUnavailable:
            self._counters.add("retry.config_append")
            return False
        return True

    def _stale(self):
        newest = self._in_force.state.offset
        return HubError(
            Code.STALE_BASE,
            f"the configuration has changed; the newest offset is {newest}",
        )
