"""The state of one client request while it is being served."""

from mulberryhub.fleet.records import RequestKind
from mulberryhub.forward.events import NO_EVENT_ID
from mulberryhub.forward.fingerprint import fingerprint_of, part_fingerprints_of
from mulberryhub.permits.stock import Flow

MAX_PRIORITY_STEPS = 3  # with an effect on the share of limited upstreams


class Job:
    """A client request with its route, workspace and the progress of its attempts.

    `deadline` is the time on the router's clock (ms) by which the answer must be
    complete. `runs` counts the attempts that may have run the request, `sends` all
    attempts that reached an upstream, and `tried_ids` holds the ids of upstreams that
    are not tried again. `event_count` is the number of events sent to the client and
    `last_event_id` the id of the last one, which `last_event_upstream_id` sent; both
    are None before the first.
    `stream_version` is the StreamVersion at which a stream must go on, or None, and
    `stream_origin` the StreamSource that began it, if its version is not yet certain.
    `release_draw` is the random number that selects the job for the target of a
    release, None before it is drawn, and `has_failed_at_target` is set once it failed
    there.
    `quota_weight` is the workspace's quota relative to the mean of all workspaces.
    `is_answer_started` is set once the answer has begun, with `status`, and
    `first_byte_ms` after the request arrived.
    """

    __slots__ = (
        "call",
        "route",
        "service",
        "workspace",
        "deadline",
        "quota_weight",
        "runs",
        "sends",
        "tried_ids",
        "failure_reason",
        "event_count",
        "last_event_id",
        "last_event_upstream_id",
        "stream_version",
        "stream_origin",
        "release_draw",
        "has_failed_at_target",
        "is_answer_started",
        "status",
        "first_byte_ms",
        "_fingerprint",
        "_part_fingerprints",
        "_flow",
    )

    def __init__(self, call, route, service, workspace, deadline, quota_weight=1.0):
        self.call = call
        self.route = route
        self.service = service
        self.workspace = workspace
        self.deadline = deadline
        self.quota_weight = quota_weight
        self.runs = 0
        self.sends = 0
        self.tried_ids = set()
        self.failure_reason = None
        self.event_count = 0
        self.last_event_id = None
        self.last_event_upstream_id = None
        self.stream_version = None
        self.stream_origin = None
        self.release_draw = None
        self.has_failed_at_target = False
        self.is_answer_started = False
        self.status = None
        self.first_byte_ms = None
        self._fingerprint = None
        self._part_fingerprints = None
        self._flow = None

    @property
    def fingerprint(self):
        """Return the fingerprint that all attempts of the request share."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.call, self.workspace)
        return self._fingerprint

    @property
    def part_fingerprints(self):
        """Return the fingerprints of the shared prompt parts, the last part first."""
        if self._part_fingerprints is None:
            self._part_fingerprints = part_fingerprints_of(self.call)
        return self._part_fingerprints

    @property
    def fingerprints(self):
        """Return the fingerprints of the request and its parts, the narrowest first."""
        return [self.fingerprint, *self.part_fingerprints]

    @property
    def flow(self):
        """Return the Flow of the workspace's requests at this priority.

        Its weight halves with each step of priority.
        """
        if self._flow is None:
            name = "" if self.workspace is None else self.workspace.name
            steps = min(self.priority, MAX_PRIORITY_STEPS)
            self._flow = Flow(f"{self.priority}/{name}", self.quota_weight / 2**steps)
        return self._flow

    @property
    def resume_after_id(self):
        """Return the id of the event after which a run goes on, NO_EVENT_ID for none.

        It may have come from an earlier attempt. Streams that can't be resumed begin
        at their first event, whatever the client says.
        """
        if self.last_event_id is not None:
            return self.last_event_id
        if self.is_taken_up and self.call.last_event_id is not None:
            return self.call.last_event_id
        return NO_EVENT_ID

    def record_events(self, events, upstream):
        """Record that the RawEvents `events` of `upstream` were sent to the client."""
        self.event_count += len(events)
        self.last_event_id = events[-1].id
        self.last_event_upstream_id = upstream.id

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self.route.kind is RequestKind.STREAMING

    @property
    def is_resumable_stream(self):
        """Return whether another upstream can resume the stream."""
        return self.is_stream and self.route.is_resumable

    @property
    def is_taken_up(self):
        """Return whether the client has events of this stream from earlier attempts."""
        return self.is_resumable_stream and self.call.is_resumption

    @property
    def is_repeatable(self):
        """Return whether the request may run more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT or self.is_resumable_stream

    @property
    def may_run_again(self):
        """Return whether another upstream may run the request now."""
        if not self.runs:
            return True
        return self.is_repeatable and self.runs < self.route.max_attempts

    @property
    def priority(self):
        """Return the priority, 0 being the highest.

        The workspace's priority overrides that of the route.
        """
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
