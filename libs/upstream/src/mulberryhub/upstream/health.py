"""Which upstreams have failed of late, so that others are tried before them."""

from mulberryhub.base.logs import module_logger

FIRST_PAUSE = 1_000  # ms
LONGEST_PAUSE = 10_000  # ms
DOUBLINGS = 4

log = module_logger(__name__)


class Failing:
    """An upstream that failed `failures` times in a row; avoided until `until` ms."""

    __slots__ = ("failures", "until")

    def __init__(self):
        self.failures = 0
        self.until = 0


class Health:
    """Failing upstreams by id; all others count as healthy."""

    __slots__ = ("failing_by_id", "_clock", "_counters")

    def __init__(self, clock, counters):
        self.failing_by_id = {}
        self._clock = clock
        self._counters = counters

    def failed(self, upstream_id):
        """Note a failure: others go first for a pause that doubles each time."""
        failing = self.failing_by_id.get(upstream_id)
        if failing is None:
            failing = self.failing_by_id[upstream_id] = Failing()
            self._counters.add("upstream.failing")
            log.warning("upstream {} is failing", upstream_id)
        pause = FIRST_PAUSE * 2 ** min(failing.failures, DOUBLINGS)
        failing.failures += 1
        failing.until = self._clock.now() + min(pause, LONGEST_PAUSE)

    def answered(self, upstream_id):
        """Note an answer: the upstream is healthy again."""
        if self.failing_by_id.pop(upstream_id, None) is not None:
            log.info("upstream {} answers again", upstream_id)

    def is_avoided(self, upstream_id):
        """Return whether other upstreams are to be tried first."""
        failing = self.failing_by_id.get(upstream_id)
        return failing is not None and self._clock.now() < failing.until

    def ordered(self, upstream_ids):
        """Return the ids in the same order, but the avoided ones last."""
        if not self.failing_by_id:
            return upstream_ids
        return sorted(upstream_ids, key=self.is_avoided)
