"""How much engine time clients ask for, as if nothing of their prompts were cached.

Answers the load of a pool that loads new weights: what it serves meanwhile is read
whole, as caches begin empty.
"""

from mulberryhub.forward.windows import SlidingSum
from mulberryhub.forward.work import TOKENS_PER_MS

WINDOW = 2_000  # ms over which demand is measured


class Demand:
    """Sums of what this router was asked for, by service."""

    __slots__ = ("_clock", "_sums_by_service")

    def __init__(self, clock):
        self._clock = clock
        self._sums_by_service = {}

    def note(self, service, call):
        """Note a client's call for `service`."""
        if not service.models or call.prompt_tokens is None:
            return
        total = self._sums_by_service.get(service.name)
        if total is None:
            total = self._sums_by_service[service.name] = SlidingSum(WINDOW)
        total.add(call.prompt_tokens / TOKENS_PER_MS, self._clock.now())

    def rates(self):
        """Return the ms of engine time that are asked for in a second, by service."""
        now = self._clock.now()
        return {
            name: round(total.at(now) * 1000 / WINDOW)
            for name, total in self._sums_by_service.items()
            if total.at(now) > 0
        }
