"""Completions: admits a call, chooses an engine and relays its answer."""

from uuid import uuid4

import msgspec

from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.auth import authenticate
from mulberryhub.gateway.chunks import AnswerShape
from mulberryhub.gateway.completion_body import check_model, content_text, parse_body
from mulberryhub.gateway.relay import Relay
from mulberryhub.routing.chain import chat_request, scope_salt, text_request
from mulberryhub.routing.request import Scope
from mulberryhub.upstream.messages import EngineCall

NO_UPSTREAM_RETRY = 2_000  # ms


class Completions:
    """Serves the two completions paths.

    `replica` gives the configuration, `limiter` admits by tokens, `policy`
    chooses engines, `health` puts failing ones last, and `engines` opens streams.
    """

    __slots__ = (
        "_replica",
        "_limiter",
        "_policy",
        "_health",
        "_engines",
        "_counters",
        "_clock",
    )

    def __init__(self, replica, limiter, policy, health, engines, counters, clock):
        self._replica = replica
        self._limiter = limiter
        self._policy = policy
        self._health = health
        self._engines = engines
        self._counters = counters
        self._clock = clock

    def chat(self, call):
        """Answer `POST /v1/chat/completions`."""
        return self._serve(call, is_chat=True)

    def complete(self, call):
        """Answer `POST /v1/completions`."""
        return self._serve(call, is_chat=False)

    def _serve(self, call, is_chat):
        view = self._replica.current()
        workspace = authenticate(call, view)
        data = call.read_body()
        body = parse_body(data, is_chat)
        model = check_model(body, workspace, view)
        candidates = view.engines_for(model.id)
        if not candidates:
            raise HubError(
                Code.NO_UPSTREAM,
                f"no engine serves {model.id!r}",
                retry_after=NO_UPSTREAM_RETRY,
            )
        request = self._route_request(body, workspace, model, is_chat)
        now = self._clock.now()
        deadline = now + view.inventory.rules.first_token_deadline
        cost = request.tokens + body.output_tokens
        grant = self._limiter.admit(workspace, cost, deadline)
        decision = self._policy.choose(request, candidates, now)
        engine_call = EngineCall(
            request_id=f"{call.request_id}.{uuid4().hex[:12]}",
            body=msgspec.json.decode(data),
            chat=is_chat,
            scope=scope_salt(request.scope).hex(),
            model_version=model.version,
            priority=decision.priority,
            idle_timeout=view.inventory.rules.idle_timeout,
            first_token_timeout=view.inventory.rules.first_token_deadline,
        )
        relay = Relay(
            self._engines,
            self._policy,
            self._health,
            self._clock,
            self._counters,
            decision,
            grant,
        )
        relay.open(engine_call, view.upstreams_by_id)
        shape = AnswerShape(call.request_id, model.id, is_chat)
        return relay.streamed(shape) if body.stream else relay.whole(shape)

    def _route_request(self, body, workspace, model, is_chat):
        scope = Scope(workspace.id, model.id, model.version)
        if not is_chat:
            return text_request(scope, body.prompt)
        messages = [(item.role, content_text(item.content)) for item in body.messages]
        return chat_request(scope, messages)
