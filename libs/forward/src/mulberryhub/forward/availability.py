"""Tracks which upstreams accept requests: no shutdown, pause or used up rate limit.

An upstream announces these while it shuts down or is overloaded; requests are then sent
to other upstreams. If none accepts requests, a request is refused at once, with the
time until one does.
"""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import Departure

log = module_logger(__name__)


class Pause:
    """A pause of one upstream incarnation.

    `started` identifies the incarnation; it accepts no requests until `until` (ms).
    """

    __slots__ = ("started", "until")

    def __init__(self, started, until):
        self.started = started
        self.until = until


class UpstreamAvailability:
    """The shutdowns and pauses that upstreams announced in their answers.

    Departures are shared with all routers, as records of the router `name`. A pause
    applies to this router only. `rate_limits` are the UpstreamRateLimits.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_rate_limits",
        "_clock",
        "_counters",
        "_pauses_by_id",
    )

    def __init__(self, name, fleet_state, rate_limits, clock, counters):
        self._name = name
        self._fleet_state = fleet_state
        self._rate_limits = rate_limits
        self._clock = clock
        self._counters = counters
        self._pauses_by_id = {}

    def record_answer(self, upstream, facts):
        """Record the departure or pause that the AnswerFacts `facts` announce."""
        if facts.is_shutting_down:
            departure = Departure(
                upstream.id, upstream.started, self._name, upstream.offset
            )
            self._fleet_state.apply_departure(departure)
        if facts.pause is not None:
            self._record_pause(upstream, facts.pause)

    def accepts_requests(self, upstream, flow):
        """Return whether `upstream` accepts requests of `flow` from this router."""
        return not (
            self._fleet_state.is_shutting_down(upstream)
            or self._remaining_pause(upstream)
        ) and self._rate_limits.accepts_requests(upstream, flow)

    def is_limited(self, upstreams):
        """Return whether any of `upstreams` limits the requests that it accepts."""
        return any(self._rate_limits.is_limited(upstream) for upstream in upstreams)

    def time_until_open(self, upstreams, flow):
        """Return the time in ms until one of `upstreams` accepts requests of `flow`.

        Return None if all of them are shutting down.
        """
        times = [
            max(
                self._remaining_pause(upstream),
                self._rate_limits.retry_after(upstream, flow),
            )
            for upstream in upstreams
            if not self._fleet_state.is_shutting_down(upstream)
        ]
        return min(times, default=None)

    def _remaining_pause(self, upstream):
        """Return the remaining pause of an upstream in ms, or 0."""
        pause = self._pauses_by_id.get(upstream.id)
        if pause is None:
            return 0
        remaining = pause.until - self._clock.now()
        if remaining <= 0 or upstream.started != pause.started:
            del self._pauses_by_id[upstream.id]
            return 0
        return remaining

    def _record_pause(self, upstream, duration):
        until = self._clock.now() + duration
        known = self._pauses_by_id.get(upstream.id)
        if known is not None and known.started == upstream.started:
            until = max(until, known.until)
        self._pauses_by_id[upstream.id] = Pause(upstream.started, until)
        self._counters.add("upstream.paused")
        log.info("upstream pauses", upstream=upstream.id, pause_ms=round(duration))
