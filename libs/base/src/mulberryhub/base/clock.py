"""The clock of all libraries: times and durations are integers in milliseconds."""

import time


class Clock:
    """The machine's clocks, read in milliseconds."""

    __slots__ = ()

    def now(self):
        """Return the ms since some start, those in which the machine slept too."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Return the time since the Unix epoch in ms."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when it is told to."""

    __slots__ = ("_now", "_epoch")

    def __init__(self, now=0, epoch=1_700_000_000_000):
        self._now = now
        self._epoch = epoch

    def now(self):
        """Return the monotonic time in ms."""
        return self._now

    def wall(self):
        """Return the time since the Unix epoch in ms."""
        return self._epoch + self._now

    def advance(self, duration):
        """Move the clock forward by `duration` ms."""
        self._now += duration
