"""Limits the requests/s of a service that a router admits while answers are late.

The limit follows the answers to this router's own requests, so that it also holds where
the state of other routers and upstreams is not known. Less urgent requests are rejected
first, at random among those that are equally urgent.
"""

from math import exp, inf

RATE_TIME_MS = 1_000  # over which rates are measured
LATE_FACTOR = 0.8  # of the admitted rate, after a late answer
IN_TIME_FACTOR = 1.01  # of the limit, after each answer in time
CALM_TIME_MS = 1_500  # without a late answer, after which the limit rises faster
CALM_FACTOR = 1.05  # the same, without recent late answers
UNLIMITED_FACTOR = 2  # of the arrivals, from which on there is no limit
MAX_LESS_URGENT_SHARE = 0.05  # admitted, while more urgent requests are rejected
MIN_LIMIT_PER_S = 1  # whose answers tell when the overload ends
# Arrivals from which on a limit is set. With fewer, it would follow single answers that
# are late for other reasons, and rise too slowly again.
MIN_LIMITED_ARRIVALS_PER_S = 8


class RecentRate:
    """The number of events per s, in which older ones count less."""

    __slots__ = ("_value", "_updated_at")

    def __init__(self):
        self._value = 0
        self._updated_at = 0

    def add(self, now):
        """Count an event at `now` (ms)."""
        self._value = self.per_s(now) + 1_000 / RATE_TIME_MS
        self._updated_at = now

    def per_s(self, now):
        """Return the events per s at `now`."""
        return self._value * exp((self._updated_at - now) / RATE_TIME_MS)


class RatesByPriority:
    """The recent rate of requests by priority."""

    __slots__ = ("_rates",)

    def __init__(self):
        self._rates = {}

    def add(self, priority, now):
        """Count a request at `now` (ms)."""
        rate = self._rates.get(priority)
        if rate is None:
            rate = self._rates[priority] = RecentRate()
        rate.add(now)

    def per_s(self, now, least=0, most=inf):
        """Return the requests per s of the priorities from `least` to `most`."""
        items = self._rates.items()
        return sum(rate.per_s(now) for key, rate in items if least <= key <= most)

    def floor(self, limit, now):
        """Return the rate of the most urgent priorities that is just below `limit`."""
        totals = [self.per_s(now, most=priority) for priority in self._rates]
        return max((total for total in totals if total < limit), default=0)


class AdmissionRate:
    """The requests of one service, and the limit on those admitted per s or None.

    `least_target` is the least latency target in ms of its requests.
    """

    __slots__ = ("limit", "least_target", "_arrivals", "_admitted", "_lowered_at")

    def __init__(self):
        self.limit = None
        self.least_target = inf
        self._arrivals = RatesByPriority()
        self._admitted = RatesByPriority()
        self._lowered_at = -inf

    def record_arrival(self, job, now):
        """Count a request."""
        self.least_target = min(self.least_target, job.route.target_latency)
        self._arrivals.add(job.priority, now)

    def record_admitted(self, job, now):
        """Count a request that is sent."""
        self._admitted.add(job.priority, now)

    def record_late(self, sent_at, now, run_time):
        """Lower the limit after an answer that began late, or not at all.

        The effect shows once the requests have ended that were admitted before, after
        `run_time` ms. Until then, more urgent requests are not rejected too.
        """
        if sent_at < self._lowered_at + run_time:
            return
        has_few = self._arrivals.per_s(now) < MIN_LIMITED_ARRIVALS_PER_S
        if self.limit is None and has_few:
            return
        self._lowered_at = now
        admitted = self._admitted.per_s(now)
        limit = admitted if self.limit is None else min(self.limit, admitted)
        floor = max(MIN_LIMIT_PER_S, self._arrivals.floor(limit, now))
        self.limit = max(floor, limit * LATE_FACTOR)

    def record_in_time(self, now):
        """Raise the limit after an answer in time; return whether it is lifted."""
        if self.limit is None:
            return False
        is_calm = now - self._lowered_at > CALM_TIME_MS
        self.limit *= CALM_FACTOR if is_calm else IN_TIME_FACTOR
        if self.limit <= UNLIMITED_FACTOR * self._arrivals.per_s(now):
            return False
        self.limit = None
        return True

    def admitted_share(self, priority, now):
        """Return the share of the requests of `priority` that is within the limit.

        None are rejected while less urgent ones are admitted.
        """
        if self.limit is None:
            return 1
        less_urgent = self._admitted.per_s(now, least=priority + 1)
        if less_urgent > MAX_LESS_URGENT_SHARE * self._admitted.per_s(now):
            return 1
        more_urgent = self._arrivals.per_s(now, most=priority - 1)
        equal = self._arrivals.per_s(now, priority, priority)
        return max(0, min(1, (self.limit - more_urgent) / equal))
