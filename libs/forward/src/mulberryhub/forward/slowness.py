"""Estimates the slowness of upstreams relative to those of the same service.

Slowness is the time that an upstream needs, divided by the usual time: 2 at half of the
usual speed. It is averaged as binary logarithm. Few responses are no evidence, so the
estimate begins at the usual speed and approaches the mean of the responses as their
weight grows. Their weight decays, so an upstream without responses returns to the usual
speed, and one whose speed changes is soon judged by its new responses.
"""

MAX_LOG_SLOWNESS = 1.2  # of a response; bounds the effect of a single one
HALF_LIFE_MS = 10_000  # of the weight of a response
MAX_AGE_MS = 60_000  # of the last response
# Of the usual speed, beside the weights of responses. A single response, however slow,
# does not change how requests are placed.
PRIOR_WEIGHT = 8
MAX_LOG_CHANGE_PER_S = 0.25  # of an estimate
MIN_LOG_SLOWNESS = 0.415  # log2(4/3); smaller differences are ignored


class SlownessSum:
    """The weighted sum of the log slowness of responses of one incarnation.

    `started` identifies the incarnation, and `key` names it in `Usage`.
    """

    __slots__ = ("started", "key", "weight", "total", "updated_at")

    def __init__(self, started, key, now, weight=0, total=0):
        self.started = started
        self.key = key
        self.weight = weight
        self.total = total
        self.updated_at = now

    def add(self, log_slowness, weight, now):
        """Add a response."""
        factor = self.decay(now)
        bounded = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, log_slowness))
        self.weight = self.weight * factor + weight
        self.total = self.total * factor + weight * bounded
        self.updated_at = now

    def decay(self, now):
        """Return the factor by which weight and total have decayed."""
        return 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_MS)

    def is_valid(self, upstreams_by_id, id, now):
        """Return whether the sum is recent and of the incarnation that is listed."""
        upstream = upstreams_by_id.get(id)
        if upstream is None or upstream.started != self.started:
            return False
        return now - self.updated_at <= MAX_AGE_MS


def estimate_log_slowness(sums_by_id, now):
    """Return the log slowness by id of a service's upstreams.

    `sums_by_id` has a list of SlownessSum for each: of this router, and of the others.
    Each upstream counts once for the usual speed, however many requests it receives.
    """
    evidence_by_id = {}
    for id, sums in sums_by_id.items():
        factors = [item.decay(now) for item in sums]
        weight = sum(item.weight * factor for item, factor in zip(sums, factors))
        total = sum(item.total * factor for item, factor in zip(sums, factors))
        if weight > 0:
            evidence_by_id[id] = weight / (weight + PRIOR_WEIGHT), total / weight
    confidence = sum(share for share, _ in evidence_by_id.values())
    usual = sum(share * mean for share, mean in evidence_by_id.values())
    usual = usual / confidence if confidence else 0
    return {id: share * (mean - usual) for id, (share, mean) in evidence_by_id.items()}


def move_towards(value, target, elapsed):
    """Return `value` after it approached `target` for `elapsed` ms."""
    step = MAX_LOG_CHANGE_PER_S * elapsed / 1_000
    return max(value - step, min(value + step, target))
