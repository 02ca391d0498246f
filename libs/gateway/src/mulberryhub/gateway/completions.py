"""Completions: admits a call, chooses an engine and relays its answer."""

from uuid import uuid4

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.gateway.auth import read_authenticated
from mulberryhub.gateway.chunks import AnswerShape
from mulberryhub.gateway.completion_body import (
    check_model,
    content_text,
    parse_body,
    parse_document,
)
from mulberryhub.gateway.relay import Relay
from mulberryhub.routing.chain import chat_request, scope_salt, text_request
from mulberryhub.routing.refusal import refuse_if_late
from mulberryhub.routing.request import Scope
from mulberryhub.upstream.messages import EngineCall

NO_UPSTREAM_RETRY = 2_000  # ms


class Completions:
    """Serves the two completions paths.

    `replica` gives the configuration, `limiter` admits by tokens, and `services`
    are what relays share, with the policy that chooses engines.
    """

    __slots__ = (
        "_replica",
        "_limiter",
        "_services",
        "_policy",
        "_clock",
    )

    def __init__(self, replica, limiter, services):
        self._replica = replica
        self._limiter = limiter
        self._services = services
        self._policy = services.policy
        self._clock = services.clock

    def chat(self, call):
        """Answer `POST /v1/chat/completions`."""
        return self._serve(call, is_chat=True)

    def complete(self, call):
        """Answer `POST /v1/completions`."""
        return self._serve(call, is_chat=False)

    def _serve(self, call, is_chat):
        view, workspace, data = read_authenticated(call, self._replica)
        body = parse_body(data, is_chat)
        document = _bounded(parse_document(data), body)
        model = check_model(body, workspace, view)
        point = self._resume_point(call, body, workspace)
        request = route_request(body, workspace, model, is_chat)
        relay = self._relay(view, workspace, request, body.output_tokens, point)
        engine_call = EngineCall(
            request_id=f"{call.request_id}.{uuid4().hex[:12]}",
            body=document,
            chat=is_chat,
            scope=scope_salt(request.scope).hex(),
            model_version=model.version,
            priority=relay.decision.priority,
            idle_timeout=view.inventory.rules.idle_timeout,
            first_token_timeout=view.inventory.rules.first_token_deadline,
        )
        if point is None:
            relay.open(engine_call)
        else:
            engine_call.request_id = point.origin.request_id
            relay.resume(engine_call, point)
        shape = AnswerShape(call.request_id, model.id, is_chat)
        if body.stream:
            return relay.streamed(call, shape)
        return relay.whole(call, shape)

    def _relay(self, view, workspace, request, output_tokens, point):
        """Return the relay of a request that is admitted and has its engines."""
        try:
            return self._admitted(view, workspace, request, output_tokens)
        except HubError as error:
            if point is not None:
                # The stream that the caller wants to go on with has run.
                error.ran = Ran.RAN
            raise

    def _admitted(self, view, workspace, request, output_tokens):
        model_id = request.scope.model
        candidates = view.engines_for(model_id)
        if not candidates:
            raise HubError(
                Code.NO_UPSTREAM,
                f"no engine serves {model_id!r}",
                retry_after=NO_UPSTREAM_RETRY,
            )
        deadline = self._clock.now() + view.inventory.rules.first_token_deadline
        cost = request.tokens + output_tokens
        grant = self._limiter.admit(workspace, cost, deadline)
        decision = self._decide(request, candidates, deadline, grant)
        return Relay(self._services, decision, grant, workspace.id)

    def _decide(self, request, candidates, deadline, grant):
        """Return the Decision, or give the grant back and raise HubError."""
        now = self._clock.now()
        try:
            decision = self._policy.choose(request, candidates, now)
            refuse_if_late(decision, now, deadline)
        except BaseException:
            grant.settle(0)
            raise
        return decision

    def _resume_point(self, call, body, workspace):
        """Return where a caller that reconnects wants to go on, or None."""
        token = call.header("Last-Event-ID")
        if not token or not body.stream:
            return None
        return self._services.signer.check(token, workspace.id)


def route_request(body, workspace, model, is_chat):
    """Return the RouteRequest of a checked body."""
    scope = Scope(workspace.id, model.id, model.version)
    if not is_chat:
        return text_request(scope, body.prompt)
    messages = [(item.role, content_text(item.content)) for item in body.messages]
    return chat_request(scope, messages)


def _bounded(document, body):
    """Return the JSON object to send, with the reserved output as its limit."""
    if body.max_tokens is None and body.max_completion_tokens is None:
        document["max_tokens"] = body.output_tokens
    return document
