"""Estimates the engine time that clients ask of all routers.

A router that is not heard may have ended, or be cut off while its clients go on asking.
Its demand therefore counts for a while as it was when most routers were heard. If its
clients came to the others, their demand makes up for it and is not added to it.
"""

from collections import deque

from mulberryhub.base.green import sleep
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.router_counts import MEMORY_MS

SAMPLE_INTERVAL_MS = 500
# For which the last reports of a router may count beside the demand of its clients at
# other routers.
SETTLING_TIME_MS = 3_000


class Sample:
    """The demand by service of the `routers` that were heard at the time `at` (ms)."""

    __slots__ = ("at", "routers", "demand_by_service")

    def __init__(self, at, usage):
        self.at = at
        self.routers = usage.routers
        self.demand_by_service = usage.demand_by_service


class DemandEstimate:
    """The demand of all routers, by service.

    `read_usage()` returns the Usage of this router and of those that it hears.
    """

    __slots__ = ("_read_usage", "_clock", "_samples")

    def __init__(self, read_usage, clock):
        self._read_usage = read_usage
        self._clock = clock
        # While most routers were heard. The first one is the newest that is settled.
        self._samples = deque([Sample(clock.now(), Usage(routers=0))])

    def start(self):
        """Start sampling in the background."""
        spawn_service(self._run)

    def of(self, service):
        """Return the engine time in ms that clients ask of `service` per s."""
        usage = self._read_usage()
        heard = usage.demand_by_service.get(service, 0)
        if usage.routers >= self._samples[-1].routers:
            return heard
        return max(heard, self._samples[0].demand_by_service.get(service, 0))

    def sample(self):
        """Record the present demand if as many routers are heard as before.

        After MEMORY_MS, those that are not heard count as ended.
        """
        sample = Sample(self._clock.now(), self._read_usage())
        if sample.at - self._samples[-1].at > MEMORY_MS:
            self._samples.clear()
        elif sample.routers < self._samples[-1].routers:
            return
        self._samples.append(sample)
        while len(self._samples) > 1 and self._is_settled(self._samples[1]):
            self._samples.popleft()

    def _is_settled(self, sample):
        return self._clock.now() - sample.at >= SETTLING_TIME_MS

    def _run(self):
        while True:
            self.sample()
            sleep(SAMPLE_INTERVAL_MS / 1000)
