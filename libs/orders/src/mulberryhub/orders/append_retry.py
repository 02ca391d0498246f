"""Retries appends to the log in the background until the log accepts them."""

from collections import deque
from random import uniform

from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.external.log import LogUnavailable

INITIAL_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 5_000
MAX_PENDING_RECORD_COUNT = 10_000  # beyond it, the oldest record is dropped


class AppendRetryQueue:
    """A queue of records to append, in order, while the log may be unavailable.

    Each record may be appended more than once: an append without an answer is
    repeated and may have taken effect.
    """

    __slots__ = ("_counters", "_pending", "_is_running")

    def __init__(self, counters):
        self._counters = counters
        self._pending = deque(maxlen=MAX_PENDING_RECORD_COUNT)
        self._is_running = False

    def add(self, partition, record):
        """Queue `record` for `partition` and return without waiting for the append."""
        self._pending.append((partition, record))
        if not self._is_running:
            self._is_running = True
            spawn_n(self._run)

    @property
    def pending_count(self):
        """Return the number of records that the log has not accepted yet."""
        return len(self._pending)

    def _run(self):
        delay_ms = INITIAL_RETRY_DELAY_MS
        while self._pending:
            partition, record = self._pending[0]
            try:
                partition.append(record)
            except LogUnavailable:
                self._counters.add("retry.log_unavailable")
                sleep(uniform(0.5, 1) * delay_ms / 1000)
                delay_ms = min(MAX_RETRY_DELAY_MS, delay_ms * 2)
            else:
                self._pending.popleft()
                delay_ms = INITIAL_RETRY_DELAY_MS
        self._is_running = False
