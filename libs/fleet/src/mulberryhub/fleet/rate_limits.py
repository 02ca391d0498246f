"""Upstreams that limit the requests/s that they accept from all routers together."""

from collections import OrderedDict
from math import inf

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.incarnations import is_later

MAX_LIMIT_COUNT = 10_000  # records
# Without an answer that confirms it. While clients ask for an upstream, routers send it
# some requests, and its answers tell whether the limit still holds.
LIMIT_RETENTION_MS = 600_000

log = module_logger(__name__)


class KnownLimit:
    """A RateLimit, when it became known and when an answer confirmed it last (ms)."""

    __slots__ = ("limit", "known_at", "confirmed_at")

    def __init__(self, limit, now):
        self.limit = limit
        self.known_at = now
        self.confirmed_at = now


class RateLimits:
    """The newest RateLimit of each upstream, the oldest first."""

    __slots__ = ("_clock", "_known_by_id")

    def __init__(self, clock):
        self._clock = clock
        self._known_by_id = OrderedDict()

    def apply(self, limit):
        """Apply a RateLimit; return whether it is new."""
        known = self._known_by_id.get(limit.id)
        if known is not None and not _is_newer(limit, known.limit):
            return False
        self._known_by_id[limit.id] = KnownLimit(limit, self._clock.now())
        if len(self._known_by_id) > MAX_LIMIT_COUNT:
            self._known_by_id.popitem(last=False)
        log.info(
            "upstream limit known",
            upstream=limit.id,
            per_s=limit.rate,
            number=limit.number,
        )
        return True

    def known(self, upstream):
        """Return the KnownLimit of this incarnation of an upstream, or None."""
        known = self._known_by_id.get(upstream.id)
        if known is None or known.limit.started != upstream.started:
            return None
        if self._clock.now() - known.confirmed_at > LIMIT_RETENTION_MS:
            return None
        return known

    def rate(self, upstream):
        """Return the requests/s that an upstream accepts, or None if unlimited."""
        known = self.known(upstream)
        return None if known is None else known.limit.rate


def _is_newer(limit, known):
    if limit.started != known.started:
        return is_later(limit, known)
    return _order(limit) > _order(known)


def _order(limit):
    """Return the sort key by age; of limits with the same number, the lower wins."""
    rate = inf if limit.rate is None else limit.rate
    return (limit.number, -rate)
