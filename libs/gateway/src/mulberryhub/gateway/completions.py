"""Request handlers of the completions API: admission, routing and relaying."""

from uuid import uuid4

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.gateway.auth import authenticate_and_read_body
from mulberryhub.gateway.completion_body import (
    content_text,
    find_allowed_model,
    parse_body,
    parse_document,
)
from mulberryhub.gateway.completion_format import CompletionFormatter
from mulberryhub.gateway.relay import Relay
from mulberryhub.routing.prefix_chain import chat_request, scope_salt, text_request
from mulberryhub.routing.refusal import refuse_if_late
from mulberryhub.routing.request import Scope
from mulberryhub.upstream.messages import EngineRequest

NO_UPSTREAM_RETRY_AFTER_MS = 2_000


class Completions:
    """Request handlers of chat and text completions.

    `replica` provides the configuration, `limiter` enforces the token rate limits and
    `relay_dependencies` holds the dependencies of relays, including the routing policy.
    """

    __slots__ = (
        "_replica",
        "_limiter",
        "_relay_dependencies",
        "_policy",
        "_clock",
    )

    def __init__(self, replica, limiter, relay_dependencies):
        self._replica = replica
        self._limiter = limiter
        self._relay_dependencies = relay_dependencies
        self._policy = relay_dependencies.policy
        self._clock = relay_dependencies.clock

    def handle_chat_completion(self, request):
        """Handle `POST /v1/chat/completions`."""
        return self._serve(request, is_chat=True)

    def handle_text_completion(self, request):
        """Handle `POST /v1/completions`."""
        return self._serve(request, is_chat=False)

    def _serve(self, request, is_chat):
        view, workspace, data = authenticate_and_read_body(request, self._replica)
        body = parse_body(data, is_chat)
        document = _with_output_limit(parse_document(data), body)
        model = find_allowed_model(body, workspace, view)
        resume_point = self._resume_point(request, body, workspace)
        route_request = build_route_request(body, workspace, model, is_chat)
        relay = self._create_relay(
            view, workspace, route_request, body.output_tokens, resume_point
        )
        engine_request = EngineRequest(
            request_id=f"{request.request_id}.{uuid4().hex[:12]}",
            body=document,
            is_chat=is_chat,
            cache_scope=scope_salt(route_request.scope).hex(),
            model_version=model.version,
            priority=relay.decision.priority,
            idle_timeout=view.inventory.rules.idle_timeout,
            first_token_timeout=view.inventory.rules.first_token_deadline,
        )
        if resume_point is None:
            relay.open(engine_request)
        else:
            engine_request.request_id = resume_point.origin.request_id
            relay.resume(engine_request, resume_point)
        formatter = CompletionFormatter(request.request_id, model.id, is_chat)
        if body.stream:
            return relay.stream_response(request, formatter)
        return relay.complete_response(request, formatter)

    def _create_relay(
        self, view, workspace, route_request, output_tokens, resume_point
    ):
        """Return a relay for the request, or raise ApiError if it is not admitted."""
        try:
            return self._admit(view, workspace, route_request, output_tokens)
        except ApiError as error:
            if resume_point is not None:
                # The request that the client wants to resume has been executed.
                error.execution_state = ExecutionState.RAN
            raise

    def _admit(self, view, workspace, route_request, output_tokens):
        model_id = route_request.scope.model
        engines = view.engines_for(model_id)
        if not engines:
            raise ApiError(
                ErrorCode.NO_UPSTREAM,
                f"no engine serves {model_id!r}",
                retry_after=NO_UPSTREAM_RETRY_AFTER_MS,
            )
        deadline = self._clock.now() + view.inventory.rules.first_token_deadline
        token_cost = route_request.tokens + output_tokens
        grant = self._limiter.admit(workspace, token_cost, deadline)
        decision = self._choose_engines(route_request, engines, deadline, grant)
        return Relay(self._relay_dependencies, decision, grant, workspace.id)

    def _choose_engines(self, route_request, engines, deadline, grant):
        """Return the routing Decision.

        If the first token is expected after the deadline, raise ApiError. On any
        error, return the tokens of the grant.
        """
        now = self._clock.now()
        try:
            decision = self._policy.choose(route_request, engines, now)
            refuse_if_late(decision, now, deadline)
        except BaseException:
            grant.settle(0)
            raise
        return decision

    def _resume_point(self, request, body, workspace):
        """Return the ResumePoint of a client that reconnects, otherwise None."""
        token = request.header("Last-Event-ID")
        if not token or not body.stream:
            return None
        return self._relay_dependencies.resume_token_signer.verify(token, workspace.id)


def build_route_request(body, workspace, model, is_chat):
    """Return the RouteRequest of a validated CompletionBody."""
    scope = Scope(workspace.id, model.id, model.version)
    if not is_chat:
        return text_request(scope, body.prompt)
    messages = [
        (message.role, content_text(message.content)) for message in body.messages
    ]
    return chat_request(scope, messages)


def _with_output_limit(document, body):
    """Return `document` with an explicit `max_tokens`.

    The engine then generates no more tokens than were counted for admission.
    """
    if body.max_tokens is None and body.max_completion_tokens is None:
        document["max_tokens"] = body.output_tokens
    return document
