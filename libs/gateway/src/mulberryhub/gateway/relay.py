"""Relays an engine's output to the client, streamed or as one response."""

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.gateway.attempts import EngineAttempts
from mulberryhub.gateway.completion_format import DONE_EVENT
from mulberryhub.gateway.disconnect import DisconnectWatcher
from mulberryhub.gateway.http_messages import HttpResponse
from mulberryhub.gateway.responses import error_body
from mulberryhub.gateway.resume_token import StreamOrigin
from mulberryhub.upstream.errors import EngineFailure
from mulberryhub.upstream.messages import StreamEnd


class Relay:
    """Relays the output of one completion request from engines to the client.

    `dependencies` is the RelayDependencies of the router and `decision` lists the
    engines to try. `grant` holds the tokens debited from the rate limit of the
    workspace with the id `workspace_id`; it is settled exactly once, even after an
    error. Tokens before `_resume_position` were delivered earlier and are not sent
    again.
    """

    __slots__ = (
        "_dependencies",
        "decision",
        "_prompt_tokens",
        "_grant",
        "_workspace_id",
        "_attempts",
        "_engine_request",
        "_resume_position",
        "_disconnect_watcher",
        "_stream_location",
        "_resume_tokens",
    )

    def __init__(self, dependencies, decision, grant, workspace_id):
        self._dependencies = dependencies
        self.decision = decision
        self._prompt_tokens = decision.request.tokens
        self._grant = grant
        self._workspace_id = workspace_id
        self._attempts = None
        self._engine_request = None
        self._resume_position = 0
        self._disconnect_watcher = None
        self._stream_location = None
        self._resume_tokens = None

    def open(self, engine_request):
        """Open a stream on an engine; raise ApiError if no engine accepts the call."""
        self._engine_request = engine_request
        self._attempts = EngineAttempts(
            self._dependencies, self.decision, engine_request
        )
        try:
            self._attempts.open()
        except BaseException:
            self.close()
            raise

    def resume(self, engine_request, resume_point):
        """Resume the stream of `resume_point`, which another router may have opened.

        Raise ApiError if the engine no longer has the stream.
        """
        self._resume_position = resume_point.position
        self._engine_request = engine_request
        self._attempts = EngineAttempts(
            self._dependencies, self.decision, engine_request
        )
        origin = resume_point.origin
        try:
            self._attempts.resume_from_start(origin.engine, origin.incarnation)
        except EngineFailure as failure:
            self._dependencies.counters.add(f"resume.{failure.reason}")
            self.close()
            message = "the engine does not keep the stream any more"
            raise ApiError(
                ErrorCode.UPSTREAM_FAILED, message, ExecutionState.RAN
            ) from failure
        self._dependencies.counters.add("resume.continued")

    def close(self):
        """Stop the engine's work on the request and settle the grant."""
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.stop()
        if self._attempts is None:
            return
        attempts, self._attempts = self._attempts, None
        attempts.close()
        used_tokens = self._prompt_tokens + attempts.token_count
        self._grant.settle(used_tokens if attempts.was_opened else 0)

    @property
    def headers(self):
        """Return the response headers, among them the id of the engine."""
        upstream_id = self._attempts.upstream_id
        return [("X-Upstream", upstream_id), ("Cache-Control", "no-store")]

    def stream_response(self, request, formatter):
        """Return a response that streams the output as server-sent events."""
        body = EventStreamBody(self, request, formatter)
        return HttpResponse(200, body, "text/event-stream", self.headers)

    def next_events(self, formatter):
        """Wait for output and return its events.

        Return a tuple of the events as bytes and whether they end the stream.
        """
        try:
            items = self._attempts.next_items()
        except ApiError as error:
            self._dependencies.counters.add(f"refusal.{error.code.label}")
            return b"event: error\ndata: " + error_body(error) + b"\n\n", True
        resume_token = self._current_resume_tokens().token
        parts = []
        for item in items:
            if isinstance(item, StreamEnd):
                self._update_prompt_tokens(item.usage)
                parts.append(formatter.chunk_event("", item.finish_reason, item.usage))
                parts.append(DONE_EVENT)
                return b"".join(parts), True
            if item.index >= self._resume_position:
                parts.append(b"id: %s\n" % resume_token(item.index + 1).encode())
                parts.append(formatter.chunk_event(item.text))
        return b"".join(parts), False

    def _update_prompt_tokens(self, usage):
        """Replace the router's word count of the prompt by the engine's token count."""
        if usage.prompt_tokens:
            self._prompt_tokens = usage.prompt_tokens

    def _current_resume_tokens(self):
        """Return the ResumeTokens of the stream on the current engine."""
        attempts = self._attempts
        location = (attempts.upstream_id, attempts.incarnation)
        if location != self._stream_location:
            self._stream_location = location
            origin = StreamOrigin(
                self._workspace_id, *location, self._engine_request.request_id
            )
            self._resume_tokens = self._dependencies.resume_token_signer.tokens_of(
                origin
            )
        return self._resume_tokens

    def watch_client(self, request):
        """Raise ClientDisconnected in this green thread if the client disconnects."""
        self._disconnect_watcher = DisconnectWatcher(
            request, self._dependencies.counters
        )

    def complete_response(self, request, formatter):
        """Return a response with the complete output.

        Raise ApiError if the output cannot be completed.
        """
        texts = []
        self.watch_client(request)
        try:
            while True:
                for item in self._attempts.next_items():
                    if isinstance(item, StreamEnd):
                        self._update_prompt_tokens(item.usage)
                        body = formatter.completion(
                            "".join(texts), item.finish_reason, item.usage
                        )
                        return HttpResponse(200, body, headers=self.headers)
                    texts.append(item.text)
        finally:
            self.close()


class EventStreamBody:
    """Iterator over the body of a streamed response.

    The WSGI server calls `close` after the last item, and also after an error.
    """

    __slots__ = ("_relay", "_request", "_formatter", "_is_started", "_is_ended")

    def __init__(self, relay, request, formatter):
        self._relay = relay
        self._request = request
        self._formatter = formatter
        self._is_started = False
        self._is_ended = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._is_ended:
            raise StopIteration
        if not self._is_started:
            self._is_started = True
            self._relay.watch_client(self._request)
        data, self._is_ended = self._relay.next_events(self._formatter)
        return data

    def close(self):
        """Stop the engine's work on the request, if it is unfinished."""
        self._relay.close()
