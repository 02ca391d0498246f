"""Appends configuration changes to the log and confirms them by reading them back."""

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import Event, sleep
from mulberryhub.external.log import LogUnavailable
from mulberryhub.replica.records import CONFIG_STREAM, Outcome, encode_record

APPEND_TIMEOUT_MS = 5_000
READ_BACK_TIMEOUT_MS = 1_000
BASE_TIMEOUT_MS = 2_000
BASE_POLL_INTERVAL_MS = 20
RETRY_AFTER_MS = 1_000
FLUSH_INTERVAL_MS = 500
FLUSH_BATCH_RECORD_COUNT = 100


class Committer:
    """Appends records and waits until they are read back from the log.

    `commit_timeout` is the time limit of `commit` in ms.
    """

    __slots__ = ("_log", "_clock", "_counters", "_active_config", "_commit_timeout")

    def __init__(self, log_client, clock, counters, active_config, commit_timeout):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._active_config = active_config
        self._commit_timeout = commit_timeout

    def wait_for_base(self, base):
        """Wait until the record at offset `base` has been read, or raise ApiError."""
        deadline = self._clock.now() + BASE_TIMEOUT_MS
        while self._active_config.state.position <= base:
            if self._clock.now() >= deadline:
                raise ApiError(
                    ErrorCode.NOT_READY,
                    f"this router has not read the log up to offset {base}",
                    retry_after=RETRY_AFTER_MS,
                )
            sleep(BASE_POLL_INTERVAL_MS / 1000)

    def commit(self, record):
        """Append `record` and return its offset, or raise ApiError."""
        if not self._active_config.is_caught_up:
            raise ApiError(
                ErrorCode.NOT_READY,
                "the configuration in force is not known yet",
                retry_after=RETRY_AFTER_MS,
            )
        if self._active_config.state.is_stale(record.base):
            raise self._stale_base_error()
        outcome, offset = self._append_and_read_back(record, self._commit_timeout)
        if outcome is Outcome.STALE:
            raise self._stale_base_error()
        if outcome is not Outcome.ACCEPTED:
            raise ApiError(ErrorCode.BAD_REQUEST, "the change was refused on replay")
        return offset

    def append_withdrawal(self, record, timeout):
        """Append a withdrawal and return its offset.

        Return None if the append was not confirmed within `timeout` ms.
        """
        try:
            return self._append_and_read_back(record, timeout)[1]
        except ApiError:
            return None

    def flush_withdrawals(self):
        """Append pending withdrawals when they are due; runs forever."""
        while True:
            sleep(FLUSH_INTERVAL_MS / 1000)
            due = self._active_config.pending.take_due(self._clock.now())
            for start in range(0, len(due), FLUSH_BATCH_RECORD_COUNT):
                self._try_append(due[start : start + FLUSH_BATCH_RECORD_COUNT])

    def _append_and_read_back(self, record, timeout):
        """Append `record`, wait until it is read, and return its outcome and offset.

        A failed append is retried. The log may then hold the record twice, which
        is harmless, because the second copy does not change the state.
        """
        event = Event()
        self._active_config.notify_on_read(record.change_id, event)
        deadline = self._clock.now() + timeout
        is_appended = False
        try:
            while self._clock.now() < deadline:
                if not is_appended:
                    time_left = max(1, deadline - self._clock.now())
                    is_appended = self._try_append(
                        [record], min(time_left, APPEND_TIMEOUT_MS)
                    )
                result = event.wait(READ_BACK_TIMEOUT_MS / 1000)
                if result is not None:
                    return result
        finally:
            self._active_config.cancel_notification(record.change_id)
        raise ApiError(
            ErrorCode.LOG_UNAVAILABLE,
            "the log does not answer; the change may still come into force",
            execution_state=ExecutionState.UNKNOWN,
            retry_after=timeout,
        )

    def _try_append(self, records, timeout=APPEND_TIMEOUT_MS):
        payloads = [encode_record(record) for record in records]
        try:
            self._log.append(CONFIG_STREAM, payloads, timeout)
        except LogUnavailable:
            self._counters.add("retry.config_append")
            return False
        return True

    def _stale_base_error(self):
        newest = self._active_config.state.offset
        return ApiError(
            ErrorCode.STALE_BASE,
            f"the configuration has changed; the newest offset is {newest}",
        )
