"""Estimates the token demand of one workspace on one router."""

from math import exp

TIME_CONSTANT_MS = 2_000


class Demand:
    """An exponentially decaying sum of request costs in tokens."""

    __slots__ = ("_sum", "_updated")

    def __init__(self, now):
        self._sum = 0.0
        self._updated = now

    def add(self, cost, now):
        """Count a request of `cost` tokens."""
        self._decay(now)
        self._sum += cost

    def rate(self, now):
        """Return the estimated demand in tokens per ms."""
        self._decay(now)
        return self._sum / TIME_CONSTANT_MS

    def _decay(self, now):
        if now > self._updated:
            self._sum *= exp((self._updated - now) / TIME_CONSTANT_MS)
            self._updated = now
