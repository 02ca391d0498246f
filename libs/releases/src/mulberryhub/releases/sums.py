"""Outcomes summed over routers, and whether they include all routers."""

MIN_ROUTERS_PART = 0.9  # of those in the last sums; fewer missing ones hide little
MAX_NEWS_AGE_MS = 500  # of other routers, which send several times as often
SETTLE_MS = 2_000  # in which routers follow another one that sums


class RouterSums:
    """The release counts of `routers` routers, and the ms since others were heard."""

    __slots__ = ("counts", "routers", "news_age")

    def __init__(self, counts, routers, news_age):
        self.counts = counts
        self.routers = routers
        self.news_age = news_age


class Coverage:
    """Whether sums have included all routers for some time.

    Addresses the loss of a router that sums for others: until they follow another one,
    their requests are missing in the sums, and the exposure seems to be smaller.
    """

    __slots__ = ("_clock", "_routers", "_doubted_at")

    def __init__(self, clock):
        self._clock = clock
        self._routers = 0
        self._doubted_at = None

    def record(self, sums):
        """Record RouterSums that were just read."""
        is_first = self._doubted_at is None
        if (
            is_first
            or sums.routers < MIN_ROUTERS_PART * self._routers
            or sums.news_age > MAX_NEWS_AGE_MS
        ):
            self._doubted_at = self._clock.now()
        self._routers = sums.routers

    def forget(self):
        """Forget all sums, as this router no longer reads them."""
        self._doubted_at = None

    @property
    def is_settled(self):
        """Return whether no router has been missing lately."""
        if self._doubted_at is None:
            return False
        return self._clock.now() - self._doubted_at >= SETTLE_MS
