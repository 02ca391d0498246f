"""Tracks recently failing upstreams, so that healthy ones are tried first."""

from mulberryhub.base.logs import module_logger

FIRST_AVOIDANCE_MS = 1_000
MAX_AVOIDANCE_MS = 10_000
MAX_DOUBLING_COUNT = 4

log = module_logger(__name__)


class FailureState:
    """Count of consecutive failures, and the clock time (ms) until avoidance ends.

    `needs_complete_response` is set if no other response shows that the upstream is
    healthy.
    """

    __slots__ = ("consecutive_failures", "avoided_until", "needs_complete_response")

    def __init__(self):
        self.consecutive_failures = 0
        self.avoided_until = 0
        self.needs_complete_response = False


class UpstreamHealth:
    """FailureState by id of failing upstreams; all others count as healthy."""

    __slots__ = ("failing_by_id", "_clock", "_counters")

    def __init__(self, clock, counters):
        self.failing_by_id = {}
        self._clock = clock
        self._counters = counters

    def record_failure(self, upstream_id, needs_complete_response=False):
        """Record a failure: other upstreams are preferred for some time.

        The time doubles with each consecutive failure, up to MAX_AVOIDANCE_MS. If it
        `needs_complete_response`, one that only begins well does not end it. Failures
        are forgotten MAX_AVOIDANCE_MS after the avoidance has ended.
        """
        state = self.failing_by_id.get(upstream_id)
        if state is None or self._is_forgotten(state):
            state = self.failing_by_id[upstream_id] = FailureState()
            self._counters.add("upstream.failing")
            log.warning("upstream {} is failing", upstream_id)
        duration = FIRST_AVOIDANCE_MS * 2 ** min(
            state.consecutive_failures, MAX_DOUBLING_COUNT
        )
        state.consecutive_failures += 1
        state.needs_complete_response |= needs_complete_response
        state.avoided_until = self._clock.now() + min(duration, MAX_AVOIDANCE_MS)

    def record_success(self, upstream_id, is_complete=False):
        """Record a response that began well, or `is_complete`: it is healthy again."""
        state = self.failing_by_id.get(upstream_id)
        if state is None or (state.needs_complete_response and not is_complete):
            return
        del self.failing_by_id[upstream_id]
        log.info("upstream {} has recovered", upstream_id)

    def is_avoided(self, upstream_id):
        """Return whether other upstreams are to be tried first."""
        state = self.failing_by_id.get(upstream_id)
        return state is not None and self._clock.now() < state.avoided_until

    def _is_forgotten(self, state):
        return self._clock.now() >= state.avoided_until + MAX_AVOIDANCE_MS

    def avoided_last(self, upstream_ids):
        """Return the ids in the same order, except that avoided ones come last."""
        if not self.failing_by_id:
            return upstream_ids
        return sorted(upstream_ids, key=self.is_avoided)
