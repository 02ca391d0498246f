"""Measures the engine time that requests need, as if no prompt were cached.

It is used to plan the loading of new weights: engines start with empty caches then, so
that prompts are processed in full.
"""

from mulberryhub.base.windows import SlidingSum
from mulberryhub.forward.work import PREFILL_TOKENS_PER_MS

WINDOW_MS = 2_000  # over which demand is measured


class Demand:
    """The engine time requested from this router, by service."""

    __slots__ = ("_clock", "_sums_by_service")

    def __init__(self, clock):
        self._clock = clock
        self._sums_by_service = {}

    def record(self, service, call):
        """Record a client's call for `service`."""
        if not service.models or call.prompt_tokens is None:
            return
        total = self._sums_by_service.get(service.name)
        if total is None:
            total = self._sums_by_service[service.name] = SlidingSum(WINDOW_MS)
        total.add(call.prompt_tokens / PREFILL_TOKENS_PER_MS, self._clock.now())

    def engine_time_rates(self):
        """Return the requested engine time in ms per second, by service."""
        now = self._clock.now()
        return {
            name: round(total.total_at(now) * 1000 / WINDOW_MS)
            for name, total in self._sums_by_service.items()
            if total.total_at(now) > 0
        }
