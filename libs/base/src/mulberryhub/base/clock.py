"""Clocks shared by all libraries; times and durations are integers in ms."""

import time
from functools import cache
from pathlib import Path

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class Clock:
    """Reads the system clocks in ms."""

    __slots__ = ()

    def now(self):
        """Return the monotonic time in ms since boot, including time in suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Return the Unix time in ms."""
        return time.time_ns() // 1_000_000

    @staticmethod
    @cache
    def boot_id():
        """Return what identifies the boot from which `now` counts, "" if unknown."""
        try:
            return BOOT_ID_PATH.read_text().strip()
        except OSError:
            return ""


class ManualClock:
    """A clock for tests that only advances when `advance` is called.

    `now` is the initial monotonic time, and `wall_offset` the Unix time at which the
    monotonic time is 0, both in ms.
    """

    __slots__ = ("_now", "_wall_offset", "_boot_id")

    def __init__(self, now=0, wall_offset=1_700_000_000_000):
        self._now = now
        self._wall_offset = wall_offset
        self._boot_id = "boot"

    def now(self):
        """Return the monotonic time in ms."""
        return self._now

    def wall(self):
        """Return the Unix time in ms."""
        return self._wall_offset + self._now

    def boot_id(self):
        """Return what identifies the boot from which `now` counts."""
        return self._boot_id

    def step_wall(self, step):
        """Step the wall clock by `step` ms."""
        self._wall_offset += step

    def reboot(self, boot_id, now):
        """Boot anew: the monotonic time is `now` ms, the wall clock goes on."""
        self._wall_offset += self._now - now
        self._now = now
        self._boot_id = boot_id

    def advance(self, duration):
        """Advance the clock by `duration` ms."""
        self._now += duration
