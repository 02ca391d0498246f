"""Which upstreams asked for no more requests, for a while or for good.

Answers the load of upstreams that leave under traffic or turn requests away: what would
go there goes elsewhere, or is refused at once with the time at which one takes requests
again.
"""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import Departure

log = module_logger(__name__)


class Pause:
    """Until when (ms) the incarnation `started` of an upstream takes no requests."""

    __slots__ = ("started", "until")

    def __init__(self, started, until):
        self.started = started
        self.until = until


class Withdrawal:
    """What upstreams asked for in their answers to the router `name`.

    Departures are beliefs that all routers share; a pause holds for this router only.
    """

    __slots__ = ("_name", "_beliefs", "_clock", "_counters", "_pauses_by_id")

    def __init__(self, name, beliefs, clock, counters):
        self._name = name
        self._beliefs = beliefs
        self._clock = clock
        self._counters = counters
        self._pauses_by_id = {}

    def note(self, upstream, facts):
        """Take what the AnswerFacts of an answer of `upstream` ask for."""
        if facts.is_leaving:
            departure = Departure(upstream.id, upstream.started, self._name)
            self._beliefs.learn_departure(departure)
        if facts.pause is not None:
            self._pause(upstream, facts.pause)

    def is_open(self, upstream):
        """Tell whether `upstream` takes requests of this router."""
        return not (self._beliefs.is_departing(upstream) or self._opens_in(upstream))

    def reopens_in(self, upstreams):
        """Return the ms until the first of `upstreams` takes requests, or None.

        None stands for never, as where all of them leave.
        """
        times = [
            self._opens_in(upstream)
            for upstream in upstreams
            if not self._beliefs.is_departing(upstream)
        ]
        return min(times, default=None)

    def _opens_in(self, upstream):
        """Return the ms until the pause of an upstream is over, 0 without one."""
        pause = self._pauses_by_id.get(upstream.id)
        if pause is None:
            return 0
        left = pause.until - self._clock.now()
        if left <= 0 or upstream.started > pause.started:
            del self._pauses_by_id[upstream.id]
            return 0
        return left

    def _pause(self, upstream, duration):
        until = self._clock.now() + duration
        known = self._pauses_by_id.get(upstream.id)
        if known is not None and known.started == upstream.started:
            until = max(until, known.until)
        self._pauses_by_id[upstream.id] = Pause(upstream.started, until)
        self._counters.add("upstream.paused")
        log.info("upstream pauses", upstream=upstream.id, pause_ms=round(duration))
