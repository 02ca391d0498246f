"""Recent engine usage of each workspace and the request priority derived from it."""

from math import exp, log2

USAGE_DECAY_MS = 20_000  # time constant of the exponential decay
PRIORITY_STEPS_PER_DOUBLING = 1
MIN_PRIORITY = -8
EXEMPT_REQUEST_COUNT = 3
MIN_WEIGHT = 0.01


def equal_weight(workspace):
    """Return the same weight for every workspace."""
    return 1.0


class WorkspaceUsage:
    """Prompt tokens of each workspace with exponential decay, and their priorities.

    `workspace_weight(workspace)` returns the weight of a workspace, such as its rate
    limit.
    """

    __slots__ = ("_usage_by_workspace", "_workspace_weight", "_clock")

    def __init__(self, clock, workspace_weight):
        self._usage_by_workspace = {}
        self._workspace_weight = workspace_weight
        self._clock = clock

    def add(self, workspace, tokens):
        """Record that `tokens` were sent to an engine for `workspace`."""
        now = self._clock.now()
        self._usage_by_workspace[workspace] = (
            self._decayed_tokens(workspace, now) + tokens,
            now,
        )

    def priority(self, workspace, tokens):
        """Return the priority of a request of `tokens` prompt tokens.

        It is 0 while the workspace stays within its weighted share of the usage, and
        lower by PRIORITY_STEPS_PER_DOUBLING each time its usage doubles beyond that,
        down to MIN_PRIORITY. Usage worth EXEMPT_REQUEST_COUNT requests of this size
        does not count, so that occasional large requests keep their priority.
        """
        now = self._clock.now()
        total_tokens = total_weight = 0.0
        for other in list(self._usage_by_workspace):
            other_tokens = self._decayed_tokens(other, now)
            if other_tokens < 1:
                del self._usage_by_workspace[other]
                continue
            total_tokens += other_tokens
            total_weight += self._weight(other)
        own = self._decayed_tokens(workspace, now) - EXEMPT_REQUEST_COUNT * tokens
        if own <= 0:
            return 0
        own /= self._weight(workspace)
        steps = int(
            PRIORITY_STEPS_PER_DOUBLING * log2(own * total_weight / total_tokens)
        )
        return max(MIN_PRIORITY, min(0, -steps))

    def _decayed_tokens(self, workspace, now):
        tokens, recorded_at = self._usage_by_workspace.get(workspace, (0.0, now))
        return tokens * exp((recorded_at - now) / USAGE_DECAY_MS)

    def _weight(self, workspace):
        return max(MIN_WEIGHT, self._workspace_weight(workspace))
