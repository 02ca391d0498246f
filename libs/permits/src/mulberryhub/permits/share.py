"""The share of each rate that a router may issue as the coordinator.

It follows the number of routers that follow this coordinator, so that the shares of
several coordinators never add up to more than FLEET_SHARE. A router that changes its
coordinator still counts for the former one for a while. A share therefore grows only
after SETTLE_TIME_MS, and falls with the next sample.
"""

from collections import deque

from mulberryhub.base.green import sleep
from mulberryhub.base.tasks import spawn_service

# Of the rate, over all coordinators. Less than 1.5 times the rate may arrive in 4 s,
# 5 requests aside; the rest is for bursts and for permits issued before the window.
FLEET_SHARE = 1.2
MAX_SHARE = 0.95  # of the rate, for one coordinator
SETTLE_TIME_MS = 1_000
SAMPLE_INTERVAL_MS = 200


class Sample:
    """The number of followers at the time `at` (ms)."""

    __slots__ = ("at", "followers")

    def __init__(self, at, followers):
        self.at = at
        self.followers = followers


class CoordinatorShare:
    """Tracks the share of rates that this router may issue.

    `count_followers()` returns the number of routers that follow this one, including
    itself, and `count_routers()` the number of all known routers.
    """

    __slots__ = ("_count_followers", "_count_routers", "_clock", "_samples")

    def __init__(self, count_followers, count_routers, clock):
        self._count_followers = count_followers
        self._count_routers = count_routers
        self._clock = clock
        self._samples = deque()

    def start(self):
        """Start sampling the number of followers in the background."""
        spawn_service(self._run)

    def current(self):
        """Return the share of each rate that this router may issue, from 0 to 1."""
        routers = self._count_routers()
        if not routers:
            return 0
        return min(MAX_SHARE, FLEET_SHARE * self.followers() / routers)

    def followers(self):
        """Return the number of routers that have followed this one for a while."""
        now = self._clock.now()
        if not self._samples or now - self._samples[-1].at >= SAMPLE_INTERVAL_MS:
            self.sample()
        return min(sample.followers for sample in self._samples)

    def sample(self):
        """Record the present number of followers.

        A gap in the samples, as after a pause of the process, counts as no followers.
        """
        now = self._clock.now()
        samples = self._samples
        if not samples or now - samples[-1].at > SETTLE_TIME_MS:
            samples.append(Sample(now, 0))
        samples.append(Sample(now, self._count_followers()))
        while samples[0].at < now - SETTLE_TIME_MS:
            samples.popleft()

    def _run(self):
        while True:
            self.sample()
            sleep(SAMPLE_INTERVAL_MS / 1_000)
