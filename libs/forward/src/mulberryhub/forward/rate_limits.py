"""Keeps requests within the rate limits that upstreams declare.

A limit holds for the requests of all routers together, so each request to such an
upstream needs a permit of the coordinator, see `permits.allocator`.
"""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import RateLimit

MIN_CHANGE_SHARE = 0.1  # smaller changes of a limit are not shared with other routers
MAX_UNREADABLE_COUNT = 1_000  # upstreams whose unreadable limits were logged

log = module_logger(__name__)


class UpstreamRateLimits:
    """Records the limits in answers, and takes permits for requests.

    `stock` is the PermitStock of this router.
    """

    __slots__ = ("_fleet_state", "_stock", "_counters", "_unreadable_ids")

    def __init__(self, fleet_state, stock, counters):
        self._fleet_state = fleet_state
        self._stock = stock
        self._counters = counters
        self._unreadable_ids = set()

    def record_answer(self, upstream, facts, sent_at, is_success):
        """Record the limit in an answer to a request that was sent at `sent_at` ms."""
        if not facts.has_rate_limit:
            if facts.is_sealed and is_success:
                self._record_rate(upstream, None, sent_at)
            return
        self._counters.add("upstream.limited_answer")
        if facts.rate_limit is None:
            self._log_unreadable(upstream)
        else:
            self._record_rate(upstream, facts.rate_limit, sent_at)

    def is_limited(self, upstream):
        """Return whether an upstream limits the requests that it accepts."""
        return self._fleet_state.rate_limits.rate(upstream) is not None

    def accepts_requests(self, upstream, flow):
        """Return whether there may be a permit for a request of `flow`."""
        if self._fleet_state.rate_limits.rate(upstream) is None:
            return True
        return self._stock.is_open(upstream, flow)

    def try_take(self, upstream, flow, deadline):
        """Take a permit for one request; return whether it may be sent.

        No permit is requested from the coordinator after `deadline` (ms).
        """
        rate = self._fleet_state.rate_limits.rate(upstream)
        if rate is None or self._stock.take(upstream, rate, flow, deadline):
            return True
        self._counters.add("upstream.no_permit")
        return False

    def put_back(self, upstream, flow):
        """Return the permit of a request that is not sent."""
        if self._fleet_state.rate_limits.rate(upstream) is not None:
            self._stock.put_back(upstream, flow)

    def charge(self, upstream):
        """Charge a request that is sent without a permit."""
        rate = self._fleet_state.rate_limits.rate(upstream)
        if rate is not None:
            self._stock.charge(upstream, rate)

    def retry_after(self, upstream, flow):
        """Return the time in ms until a request may get a permit, 0 without a limit."""
        if self._fleet_state.rate_limits.rate(upstream) is None:
            return 0
        return self._stock.retry_after(upstream, flow)

    def _record_rate(self, upstream, rate, sent_at):
        """Record that an upstream declared `rate`, or None for no limit.

        An answer to a request that was sent before the known limit was may be older
        than it. It can only lower the limit.
        """
        known = self._fleet_state.rate_limits.known(upstream)
        if known is None:
            if rate is not None:
                self._apply(upstream, 0, rate)
            return
        if _is_close(known.limit.rate, rate):
            known.confirmed_at = max(known.confirmed_at, sent_at)
        elif _is_lower(rate, known.limit.rate) or sent_at > known.known_at:
            self._apply(upstream, known.limit.number + 1, rate)

    def _apply(self, upstream, number, rate):
        limit = RateLimit(upstream.id, upstream.started, number, rate, upstream.offset)
        self._fleet_state.apply_rate_limit(limit)

    def _log_unreadable(self, upstream):
        if upstream.id in self._unreadable_ids:
            return
        if len(self._unreadable_ids) >= MAX_UNREADABLE_COUNT:
            self._unreadable_ids.clear()
        self._unreadable_ids.add(upstream.id)
        log.warning("unreadable upstream limit", upstream=upstream.id)


def _is_close(known_rate, rate):
    if known_rate is None or rate is None:
        return known_rate is rate
    return abs(known_rate - rate) <= MIN_CHANGE_SHARE * known_rate


def _is_lower(rate, known_rate):
    return rate is not None and (known_rate is None or rate < known_rate)
