"""The times of executed steps, by which checks exclude the effects of faults."""

from soak.plan import StepKind

FAULT_EFFECT_MS = 3_000  # A fault may affect requests sent so long after its end.
ROUTER_DOWN_KINDS = (
    StepKind.ROUTER_KILL,
    StepKind.ROUTER_PAUSE,
    StepKind.ROUTER_STOP,
)


class Span:
    """The time in which a step was in effect, in wall-clock ms.

    `target` is the name of the router, or the kind of a step that has other targets.
    `ended_at` is None while the step lasts.
    """

    __slots__ = ("step", "target", "started_at", "ended_at")

    def __init__(self, step, target, started_at):
        self.step = step
        self.target = target
        self.started_at = started_at
        self.ended_at = None

    def overlaps(self, start, end):
        """Return whether the step was in effect at any time from `start` to `end`."""
        return self.started_at <= end and (
            self.ended_at is None or self.ended_at >= start
        )


class WorkerLimit:
    """The time in which a worker named a limit of `rate` requests/s."""

    __slots__ = ("worker", "rate", "started_at", "ended_at")

    def __init__(self, worker, rate, started_at):
        self.worker = worker
        self.rate = rate
        self.started_at = started_at
        self.ended_at = None


class Timeline:
    """The Spans of a run and the times of planned changes, in wall-clock ms.

    The times are those at which a key was withdrawn, a version of the weights was
    published and a worker began to drain. `limits` are the WorkerLimits.
    """

    __slots__ = (
        "spans",
        "withdrawn_at_by_key",
        "published_at_by_version",
        "drained_at_by_worker",
        "limits",
    )

    def __init__(self):
        self.spans = []
        self.withdrawn_at_by_key = {}
        self.published_at_by_version = {}
        self.drained_at_by_worker = {}
        self.limits = []

    def end_limits(self, now):
        """Record that all workers name no limit from `now` (ms) on."""
        for limit in self.limits:
            if limit.ended_at is None:
                limit.ended_at = now

    def is_undisturbed(self, start, end):
        """Return whether no fault and no router outage overlaps `start` to `end`."""
        return not any(
            span.overlaps(start, end)
            for span in self.spans
            if span.step.is_fault or span.step.kind in ROUTER_DOWN_KINDS
        )

    def is_router_up(self, router, start, end):
        """Return whether the process of `router` ran from `start` to `end`."""
        return not any(
            span.target == router
            and span.step.kind in ROUTER_DOWN_KINDS
            and span.overlaps(start, end)
            for span in self.spans
        )

    def is_affected_only_by_stop(self, router, request):
        """Return whether a planned stop of `router` alone can have affected a request.

        The stop must have begun after the request was sent.
        """
        spans = [
            span
            for span in self.spans
            if span.overlaps(request.sent_at - FAULT_EFFECT_MS, request.ended_at)
            and (span.step.is_fault or span.step.kind in ROUTER_DOWN_KINDS)
        ]
        return len(spans) == 1 and (
            spans[0].step.kind is StepKind.ROUTER_STOP
            and spans[0].target == router
            and spans[0].started_at >= request.sent_at
        )
