"""Relays an engine's answer to the caller, in events or whole."""

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.gateway.attempts import Attempts
from mulberryhub.gateway.call import Reply
from mulberryhub.gateway.caller import CallerWatch
from mulberryhub.gateway.chunks import DONE
from mulberryhub.gateway.replies import error_body
from mulberryhub.gateway.resume_token import StreamOrigin
from mulberryhub.upstream.errors import EngineFailure
from mulberryhub.upstream.messages import End


class Relay:
    """One answer on its way from an engine to a caller.

    `decision` names the engines to try. `grant` is settled once, however the
    answer ends. `position` is the number of tokens that the caller has got already
    and does not get again.
    """

    __slots__ = (
        "_services",
        "decision",
        "_prompt_tokens",
        "_grant",
        "_workspace",
        "_attempts",
        "_engine_call",
        "_position",
        "_watch",
        "_origin",
        "_series",
    )

    def __init__(self, services, decision, grant, workspace):
        self._services = services
        self.decision = decision
        self._prompt_tokens = decision.request.tokens
        self._grant = grant
        self._workspace = workspace
        self._attempts = None
        self._engine_call = None
        self._position = 0
        self._watch = None
        self._origin = None
        self._series = None

    def open(self, engine_call):
        """Open the stream on an engine or raise HubError."""
        self._engine_call = engine_call
        self._attempts = Attempts(self._services, self.decision, engine_call)
        try:
            self._attempts.open()
        except BaseException:
            self.close()
            raise

    def resume(self, engine_call, point):
        """Go on with a stream that another router had opened or raise HubError."""
        self._position = point.position
        self._engine_call = engine_call
        self._attempts = Attempts(self._services, self.decision, engine_call)
        origin = point.origin
        try:
            self._attempts.reopen(origin.engine, origin.incarnation)
        except EngineFailure as failure:
            self._services.counters.add(f"resume.{failure.reason}")
            self.close()
            message = "the engine does not keep the stream any more"
            raise HubError(Code.UPSTREAM_FAILED, message, Ran.RAN) from failure
        self._services.counters.add("resume.continued")

    def close(self):
        """End the work on the engine and settle the grant."""
        if self._watch is not None:
            self._watch.stop()
        if self._attempts is None:
            return
        attempts, self._attempts = self._attempts, None
        attempts.close()
        used = self._prompt_tokens + attempts.tokens
        self._grant.settle(used if attempts.opened else 0)

    @property
    def headers(self):
        """Return the reply's headers that tell where the answer comes from."""
        upstream_id = self._attempts.upstream_id
        return [("X-Upstream", upstream_id), ("Cache-Control", "no-store")]

    def streamed(self, call, shape):
        """Return the reply that streams the answer as server-sent events."""
        body = EventBody(self, call, shape)
        return Reply(200, body, "text/event-stream", self.headers)

    def events(self, shape):
        """Return the bytes of all events that have arrived, and whether they end it."""
        try:
            items = self._attempts.batch()
        except HubError as error:
            self._services.counters.add(f"refusal.{error.code.label}")
            return b"event: error\ndata: " + error_body(error) + b"\n\n", True
        token = self._token_series().token
        parts = []
        for item in items:
            if isinstance(item, End):
                self._note_usage(item.usage)
                parts.append(shape.chunk("", item.finish_reason, item.usage))
                parts.append(DONE)
                return b"".join(parts), True
            if item.index >= self._position:
                parts.append(b"id: %s\n" % token(item.index + 1).encode())
                parts.append(shape.chunk(item.text))
        return b"".join(parts), False

    def _note_usage(self, usage):
        """Take the engine's count of the prompt in place of the router's words."""
        if usage.prompt_tokens:
            self._prompt_tokens = usage.prompt_tokens

    def _token_series(self):
        """Return the tokens of the stream, which change with its engine."""
        attempts = self._attempts
        origin = (attempts.upstream_id, attempts.incarnation)
        if origin != self._origin:
            self._origin = origin
            stream = StreamOrigin(
                self._workspace, *origin, self._engine_call.request_id
            )
            self._series = self._services.signer.series(stream)
        return self._series

    def watch(self, call):
        """Watch the caller's connection from the current green thread."""
        self._watch = CallerWatch(call, self._services.counters)

    def whole(self, call, shape):
        """Return the reply that holds the whole answer or raise HubError."""
        texts = []
        self.watch(call)
        try:
            while True:
                for item in self._attempts.batch():
                    if isinstance(item, End):
                        self._note_usage(item.usage)
                        body = shape.whole(
                            "".join(texts), item.finish_reason, item.usage
                        )
                        return Reply(200, body, headers=self.headers)
                    texts.append(item.text)
        finally:
            self.close()


class EventBody:
    """The body of a streamed reply; the WSGI server closes it in any case."""

    __slots__ = ("_relay", "_call", "_shape", "_started", "_ended")

    def __init__(self, relay, call, shape):
        self._relay = relay
        self._call = call
        self._shape = shape
        self._started = False
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._ended:
            raise StopIteration
        if not self._started:
            self._started = True
            self._relay.watch(self._call)
        data, self._ended = self._relay.events(self._shape)
        return data

    def close(self):
        """End the work on the engine, unless it has ended by itself."""
        self._relay.close()
