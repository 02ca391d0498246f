"""Appends records that must reach the log in the end, through its outages."""

from collections import deque
from random import uniform

from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.external.log import LogUnavailable

FIRST_PAUSE = 100  # ms
MAX_PAUSE = 5_000  # ms
MAX_WAITING = 10_000  # records


class Keeper:
    """Records that wait for the log; all may be appended more than once."""

    __slots__ = ("_counters", "_waiting", "_running")

    def __init__(self, counters):
        self._counters = counters
        self._waiting = deque(maxlen=MAX_WAITING)
        self._running = False

    def keep(self, partition, record):
        """Append `record` to `partition` as soon as the log takes it."""
        self._waiting.append((partition, record))
        if not self._running:
            self._running = True
            spawn_n(self._run)

    @property
    def waiting(self):
        """Return the number of records that the log has not taken yet."""
        return len(self._waiting)

    def _run(self):
        pause = FIRST_PAUSE
        while self._waiting:
            partition, record = self._waiting[0]
            try:
                partition.append(record)
            except LogUnavailable:
                self._counters.add("retry.log_unavailable")
                sleep(uniform(0.5, 1) * pause / 1000)
                pause = min(MAX_PAUSE, pause * 2)
            else:
                self._waiting.popleft()
                pause = FIRST_PAUSE
        self._running = False
