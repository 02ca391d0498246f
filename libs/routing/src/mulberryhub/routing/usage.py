"""Recent use of engines by each workspace, and the priority that it leaves."""

from math import exp, log2

USAGE_LIFETIME = 20_000  # ms
STEPS = 1  # priorities for each doubling
LEAST_PRIORITY = -8
GRACE_REQUESTS = 3
LEAST_WEIGHT = 0.01


def same_weight(workspace):
    """Return the same weight for all workspaces."""
    return 1.0


class Usage:
    """Tokens that workspaces had computed lately, for their weights.

    `weight_of(workspace)` returns the weight of a workspace, such as its rate.
    """

    __slots__ = ("_used_by_workspace", "_weight_of", "_clock")

    def __init__(self, clock, weight_of):
        self._used_by_workspace = {}
        self._weight_of = weight_of
        self._clock = clock

    def add(self, workspace, tokens):
        """Note that `tokens` are computed for `workspace`."""
        now = self._clock.now()
        self._used_by_workspace[workspace] = (self._used(workspace, now) + tokens, now)

    def priority(self, workspace, tokens):
        """Return the priority of a request of `tokens`: 0, or less beyond its share.

        A few requests are not held against a workspace that seldom sends any.
        """
        now = self._clock.now()
        used = weight = 0.0
        for other in list(self._used_by_workspace):
            other_used = self._used(other, now)
            if other_used < 1:
                del self._used_by_workspace[other]
                continue
            used += other_used
            weight += self._weight(other)
        own = self._used(workspace, now) - GRACE_REQUESTS * tokens
        if own <= 0:
            return 0
        own /= self._weight(workspace)
        steps = int(STEPS * log2(own * weight / used))
        return max(LEAST_PRIORITY, min(0, -steps))

    def _used(self, workspace, now):
        used, at = self._used_by_workspace.get(workspace, (0.0, now))
        return used * exp((at - now) / USAGE_LIFETIME)

    def _weight(self, workspace):
        return max(LEAST_WEIGHT, self._weight_of(workspace))
