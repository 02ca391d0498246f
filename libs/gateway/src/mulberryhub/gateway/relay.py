"""Relays an engine's stream to the caller."""

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.gateway.call import Reply
from mulberryhub.gateway.chunks import DONE
from mulberryhub.gateway.replies import error_body
from mulberryhub.upstream.errors import EngineFailure
from mulberryhub.upstream.messages import End

FAILED_RETRY = 1_000  # ms


class Relay:
    """One answer on its way from an engine to a caller."""

    __slots__ = (
        "_engines",
        "_policy",
        "_health",
        "_clock",
        "_counters",
        "_decision",
        "_grant",
        "_stream",
        "_upstream_id",
        "_tokens",
    )

    def __init__(self, engines, policy, health, clock, counters, decision, grant):
        self._engines = engines
        self._policy = policy
        self._health = health
        self._clock = clock
        self._counters = counters
        self._decision = decision
        self._grant = grant
        self._stream = None
        self._upstream_id = None
        self._tokens = 0

    def open(self, engine_call, upstreams_by_id):
        """Open the stream on the first engine of the decision that takes it."""
        sent = False
        for id_ in self._health.ordered(self._decision.order):
            self._policy.started(self._decision, id_)
            try:
                self._stream = self._engines.open(upstreams_by_id[id_], engine_call)
                self._upstream_id = id_
                return
            except EngineFailure as error:
                self._counters.add(f"retry.{error.reason}")
                self._policy.ended(self._decision, id_)
                self._health.failed(id_)
                sent = sent or error.sent
        self._grant.settle(0)
        ran = Ran.UNKNOWN if sent else Ran.NOT_RUN
        raise HubError(Code.UPSTREAM_FAILED, "no engine answered", ran, FAILED_RETRY)

    def items(self):
        """Yield tokens and the end; settle the grant however this ends."""
        opened = self._clock.now()
        try:
            for item in self._stream:
                if not isinstance(item, End):
                    self._note_token(opened)
                yield item
        except EngineFailure as error:
            self._counters.add(f"refusal.{Code.UPSTREAM_FAILED.label}")
            raise HubError(Code.UPSTREAM_FAILED, str(error), Ran.RAN) from error
        finally:
            self._stream.close()
            self._policy.ended(self._decision, self._upstream_id)
            self._grant.settle(self._decision.request.tokens + self._tokens)

    def _note_token(self, opened):
        if self._tokens == 0:
            elapsed = self._clock.now() - opened
            self._policy.answered(self._decision, self._upstream_id, 0, elapsed)
        self._tokens += 1

    @property
    def headers(self):
        """Return the reply's headers that tell where the answer comes from."""
        return [("X-Upstream", self._upstream_id), ("Cache-Control", "no-store")]

    def streamed(self, shape):
        """Return the reply that streams the answer as server-sent events."""
        return Reply(200, self._events(shape), "text/event-stream", self.headers)

    def _events(self, shape):
        try:
            for item in self.items():
                if isinstance(item, End):
                    yield shape.chunk("", item.finish_reason, item.usage)
                else:
                    yield shape.chunk(item.text)
        except HubError as error:
            yield b"event: error\ndata: " + error_body(error) + b"\n\n"
        else:
            yield DONE

    def whole(self, shape):
        """Return the reply that holds the whole answer."""
        texts = []
        for item in self.items():
            if isinstance(item, End):
                body = shape.whole("".join(texts), item.finish_reason, item.usage)
                return Reply(200, body, headers=self.headers)
            texts.append(item.text)
        raise HubError(Code.UPSTREAM_FAILED, "the answer has no end", Ran.RAN)
