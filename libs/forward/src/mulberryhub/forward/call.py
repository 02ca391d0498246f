"""Protocol-independent form of requests and answers, and the adapter interface."""

from mulberryhub.forward.event_times import EventTimes


class PromptPart:
    """A part of a prompt: its id and its length in tokens."""

    __slots__ = ("id", "tokens")

    def __init__(self, id, tokens):
        self.id = id
        self.tokens = tokens


class Call:
    """A client's request with the values declared in its headers.

    `deadline` is the time on the router's clock (ms) at which the client gives up, or
    None. `prompt_tokens` is the length of the prompt and `output_tokens` the maximum
    length of the answer; both are None if not declared. `prompt_parts` are in order;
    the last one belongs to this request only. `is_resumption` is set if the client has
    events of the stream from earlier attempts. `last_event_id` is the id of the last of
    them, None if it names none, and `resumed_attempt_id` is the id of the attempt that
    brought the first of them, likewise.
    """

    __slots__ = (
        "request",
        "id",
        "host",
        "path",
        "api_key",
        "deadline",
        "model",
        "prompt_tokens",
        "output_tokens",
        "prompt_parts",
        "is_resumption",
        "last_event_id",
        "resumed_attempt_id",
    )

    def __init__(self, request, id, host, path, api_key=None, deadline=None):
        self.request = request
        self.id = id
        self.host = host
        self.path = path
        self.api_key = api_key
        self.deadline = deadline
        self.model = None
        self.prompt_tokens = None
        self.output_tokens = None
        self.prompt_parts = []
        self.is_resumption = False
        self.last_event_id = None
        self.resumed_attempt_id = None

    @property
    def shared_parts(self):
        """Return the prompt parts that other requests may share."""
        return self.prompt_parts[:-1]


class Attempt:
    """One attempt to run a call on an upstream.

    `version` is the version that the upstream's weights must have, `salt` identifies
    the scope of cached prompt parts. Saved KV cache is fetched from the address
    `fetch_from` and saved to the address `save_to`, if set. `time_left` is the time
    until the request's deadline and `delay` the expected time until the answer begins,
    both in ms. `last_event_id` is the id of the last event delivered to the client.

    `sent_at` is the time of sending (ms on the router's clock). `suspects` are the
    RunSuspects of the request as known at that time, None if nothing was suspected.
    `answered_at` is the time at which the body of the answer began, None before that.
    `event_times` are the EventTimes of a stream.
    """

    __slots__ = (
        "upstream",
        "workspace",
        "priority",
        "version",
        "salt",
        "fetch_from",
        "save_to",
        "time_left",
        "delay",
        "last_event_id",
        "sent_at",
        "suspects",
        "answered_at",
        "event_times",
        "_event_at",
        "_longest_pause",
    )

    def __init__(self, upstream, workspace, priority):
        self.upstream = upstream
        self.workspace = workspace
        self.priority = priority
        self.version = None
        self.salt = None
        self.fetch_from = None
        self.save_to = None
        self.time_left = 0
        self.delay = 0
        self.last_event_id = None
        self.sent_at = 0
        self.suspects = None
        self.answered_at = None
        self.event_times = EventTimes()
        self._event_at = None
        self._longest_pause = None

    def record_event(self, now):
        """Record that an event of the answer arrived at `now` (ms)."""
        if self._event_at is not None:
            self._longest_pause = max(self._longest_pause or 0, now - self._event_at)
        self._event_at = now

    def longest_pause(self, now=None):
        """Return the longest pause between two events in ms, None without two events.

        If `now` (ms) is given, the answer broke off then, and so did a pause.
        """
        if now is None or self._event_at is None:
            return self._longest_pause
        return max(self._longest_pause or 0, now - self._event_at)


class AnswerFacts:
    """What the headers of an upstream's answer declare.

    `request_id` is the id of the request that is answered, None if not given.
    `not_run` states that the request was not run. `actual_upstream_id` is the id of
    the upstream that now uses the address, None if it is the expected one. `version` is
    the version of the upstream's weights, None if not given. `is_shutting_down` is set
    if the upstream is shutting down and accepts no more requests. `pause` is the time
    in ms for which it accepts no requests from this router, None if no pause was
    announced. `has_rate_limit` is set if the upstream limits the requests that it
    accepts from all routers together, and `rate_limit` is their number per s, None if
    it cannot be read.
    """

    __slots__ = (
        "request_id",
        "not_run",
        "actual_upstream_id",
        "is_sealed",
        "version",
        "is_shutting_down",
        "pause",
        "has_rate_limit",
        "rate_limit",
    )

    def __init__(
        self,
        request_id,
        not_run,
        actual_upstream_id,
        is_sealed,
        version,
        is_shutting_down=False,
        pause=None,
        has_rate_limit=False,
        rate_limit=None,
    ):
        self.request_id = request_id
        self.not_run = not_run
        self.actual_upstream_id = actual_upstream_id
        self.is_sealed = is_sealed
        self.version = version
        self.is_shutting_down = is_shutting_down
        self.pause = pause
        self.has_rate_limit = has_rate_limit
        self.rate_limit = rate_limit


class Dialect:
    """Functions of an adapter that translate requests and answers.

    `read_call(request)` returns a Call or raises Refusal.
    `attempt_request(call, attempt)` returns the Request to send to an upstream.
    `read_answer(head, attempt)` returns AnswerFacts.
    `retry_after(ms)` returns the Headers that state when the client may retry.
    `event_header` is the field with a number that upstreams may send in an event beside
    its id and data, None for none.
    """

    __slots__ = (
        "read_call",
        "attempt_request",
        "read_answer",
        "retry_after",
        "event_header",
    )

    def __init__(
        self, read_call, attempt_request, read_answer, retry_after, event_header=None
    ):
        self.read_call = read_call
        self.attempt_request = attempt_request
        self.read_answer = read_answer
        self.retry_after = retry_after
        self.event_header = event_header
