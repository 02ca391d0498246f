"""Clocks shared by all libraries; times and durations are integers in ms."""

import time


class Clock:
    """Reads the system clocks in ms."""

    __slots__ = ()

    def now(self):
        """Return the monotonic time in ms since boot, including time in suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Return the Unix time in ms."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock for tests that only advances when `advance` is called.

    `now` is the initial monotonic time, and `wall_offset` the Unix time at which the
    monotonic time is 0, both in ms.
    """

    __slots__ = ("_now", "_wall_offset")

    def __init__(self, now=0, wall_offset=1_700_000_000_000):
        self._now = now
        self._wall_offset = wall_offset

    def now(self):
        """Return the monotonic time in ms."""
        return self._now

    def wall(self):
        """Return the Unix time in ms."""
        return self._wall_offset + self._now

    def advance(self, duration):
        """Advance the clock by `duration` ms."""
        self._now += duration
