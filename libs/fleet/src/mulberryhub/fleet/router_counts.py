"""How many routers there may be, and how many of them this router hears.

A router that is not heard may have ended, or be cut off and go on admitting requests.
Those that hear each other therefore leave it its part of what is common to all.
"""

from collections import deque

from mulberryhub.base.green import sleep
from mulberryhub.base.tasks import spawn_service

SAMPLE_INTERVAL_MS = 500
# After which a router that is not heard counts as ended. Records of routers that ended
# stay, so without an end each would take its part away for good.
MEMORY_MS = 60_000


class Sample:
    """The numbers of routers heard and listed at the time `at` (ms)."""

    __slots__ = ("at", "heard", "listed")

    def __init__(self, at, heard, listed):
        self.at = at
        self.heard = heard
        self.listed = listed


class RouterCounts:
    """Counts routers, each time including this one.

    `read_others()` returns the Usage of the other routers that are heard, or None.
    `count_listed()` returns the number of routers with a record in the store.
    """

    __slots__ = ("_read_others", "_count_listed", "_clock", "_samples")

    def __init__(self, read_others, count_listed, clock):
        self._read_others = read_others
        self._count_listed = count_listed
        self._clock = clock
        # Before the first sample, none was listed: all count as new.
        self._samples = deque([Sample(clock.now(), 1, 0)])

    def start(self):
        """Start sampling in the background."""
        spawn_service(self._run)

    def heard(self):
        """Return the number of routers that share their usage."""
        others = self._read_others()
        return 1 if others is None else 1 + others.routers

    def possible(self):
        """Return the number of routers that may be admitting requests.

        These are as many as were heard at once within MEMORY_MS, and those that were
        listed since. A router that hears no other can't tell who has ended.
        """
        heard = self.heard()
        listed = self._count_listed()
        if heard == 1:
            return max(1, listed)
        self._forget_old_samples()
        most_heard = max(sample.heard for sample in self._samples)
        new = listed - min(sample.listed for sample in self._samples)
        return max(heard, min(listed, most_heard + max(0, new)))

    def sample(self):
        """Record the present numbers."""
        self._forget_old_samples()
        now = self._clock.now()
        self._samples.append(Sample(now, self.heard(), self._count_listed()))

    def _forget_old_samples(self):
        """Drop samples that are too old, but for the newest one."""
        oldest = self._clock.now() - MEMORY_MS
        while len(self._samples) > 1 and self._samples[0].at < oldest:
            self._samples.popleft()

    def _run(self):
        while True:
            self.sample()
            sleep(SAMPLE_INTERVAL_MS / 1000)
