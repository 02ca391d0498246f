"""The state of one client's request while it is served."""

from mulberryhub.fleet.records import Kind
from mulberryhub.forward.fingerprint import fingerprint_of

LEAST_TIME = 15  # ms of work that an upstream must be left with


class Job:
    """A call with its route, workspace and what became of its attempts.

    `end` is the clock's ms at which an answer is due. `runs` counts attempts that
    may have run, `sends` all that reached an upstream. `last_event` is the id of the
    last event that the client has, `is_started` tells that an answer began, with
    `status` and after `first_ms`.
    """

    __slots__ = (
        "call",
        "route",
        "service",
        "workspace",
        "end",
        "runs",
        "sends",
        "tried",
        "failure",
        "last_event",
        "is_started",
        "status",
        "first_ms",
        "_fingerprint",
    )

    def __init__(self, call, route, service, workspace, end):
        self.call = call
        self.route = route
        self.service = service
        self.workspace = workspace
        self.end = end
        self.runs = 0
        self.sends = 0
        self.tried = set()
        self.failure = None
        self.last_event = None
        self.is_started = False
        self.status = None
        self.first_ms = None
        self._fingerprint = None

    @property
    def fingerprint(self):
        """Return what all attempts of the same request have in common."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.call, self.workspace)
        return self._fingerprint

    @property
    def is_stream(self):
        """Tell whether the answer is a stream of events."""
        return self.route.kind is Kind.STREAMING

    @property
    def is_resumable_stream(self):
        """Tell whether another upstream may go on with the stream."""
        return self.is_stream and self.route.is_resumable

    @property
    def is_repeatable(self):
        """Tell whether the request may run more than once."""
        return self.route.kind is Kind.IDEMPOTENT or self.is_resumable_stream

    @property
    def may_run_again(self):
        """Tell whether another upstream may run the request now."""
        if not self.runs:
            return True
        return self.is_repeatable and self.runs < self.route.max_attempts

    @property
    def priority(self):
        """Return the rank, 0 the first; a workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
