"""What was done in a run and when, for promises with a time bound."""

from soak.plan import StepKind

STOP_MARGIN = 3_000  # ms before a request in which a fault may still have an effect
ROUTER_KINDS = (StepKind.ROUTER_KILL, StepKind.ROUTER_PAUSE, StepKind.ROUTER_STOP)


class Span:
    """A step as it was carried out, in ms of wall time; `target` names its program."""

    __slots__ = ("step", "target", "began", "ended")

    def __init__(self, step, target, began):
        self.step = step
        self.target = target
        self.began = began
        self.ended = None

    def overlaps(self, start, end):
        """Tell whether it was in force between two times."""
        return self.began <= end and (self.ended is None or self.ended >= start)


class History:
    """The Spans of a run, and the times (ms) of changes by what they changed."""

    __slots__ = ("spans", "withdrawn_at_by_key", "named_at_by_version", "left_at_by_id")

    def __init__(self):
        self.spans = []
        self.withdrawn_at_by_key = {}
        self.named_at_by_version = {}
        self.left_at_by_id = {}

    def is_calm(self, start, end):
        """Tell whether no fault or end of a router touches the time between."""
        return not any(
            span.overlaps(start, end)
            for span in self.spans
            if span.step.is_fault or span.step.kind in ROUTER_KINDS
        )

    def runs_on(self, router, start, end):
        """Tell whether the process of `router` ran all the time between."""
        return not any(
            span.target == router
            and span.step.kind in ROUTER_KINDS
            and span.overlaps(start, end)
            for span in self.spans
        )

    def stops_alone(self, router, seen):
        """Tell whether only the stop of `router` touches a request that it had."""
        spans = [
            span
            for span in self.spans
            if span.overlaps(seen.sent_at - STOP_MARGIN, seen.ended_at)
            and (span.step.is_fault or span.step.kind in ROUTER_KINDS)
        ]
        return len(spans) == 1 and (
            spans[0].step.kind is StepKind.ROUTER_STOP
            and spans[0].target == router
            and spans[0].began >= seen.sent_at
        )
