"""Operator endpoints that leave the configuration unchanged: explain and drain."""

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.config.administration import (
    Candidate,
    DrainRequest,
    DrainResponse,
    ExplainRequest,
    ExplainResponse,
)
from mulberryhub.gateway.admin import decode_body
from mulberryhub.gateway.app import Endpoint
from mulberryhub.gateway.completion_body import find_allowed_model, parse_body
from mulberryhub.gateway.completions import build_route_request
from mulberryhub.gateway.responses import json_response


class RouterAdminApi:
    """Request handlers of `/admin/explain` and `/admin/drain`.

    Both concern only the router that receives the request.
    """

    __slots__ = (
        "_admin_api",
        "_replica",
        "_policy",
        "_health",
        "_lifecycle",
        "_clock",
    )

    def __init__(self, admin_api, replica, policy, health, lifecycle, clock):
        self._admin_api = admin_api
        self._replica = replica
        self._policy = policy
        self._health = health
        self._lifecycle = lifecycle
        self._clock = clock

    def endpoints(self):
        """Return the endpoints by path."""
        return {
            "/admin/explain": Endpoint("POST", self._explain),
            "/admin/drain": Endpoint("POST", self._drain),
        }

    def _drain(self, request):
        self._admin_api.require_operator(request)
        self._lifecycle.draining = decode_body(request, DrainRequest).draining
        return json_response(DrainResponse(self._lifecycle.draining))

    def _explain(self, request):
        self._admin_api.require_operator(request)
        explain_request = decode_body(request, ExplainRequest)
        view = self._replica.current()
        workspace = (
            view.workspaces_by_id.get(explain_request.workspace) if view else None
        )
        if workspace is None:
            raise ApiError(
                ErrorCode.BAD_REQUEST,
                f"the workspace {explain_request.workspace!r} is not known",
            )
        body = parse_body(bytes(explain_request.request), explain_request.chat)
        model = find_allowed_model(body, workspace, view)
        route_request = build_route_request(
            body, workspace, model, explain_request.chat
        )
        engines = view.engines_for(model.id)
        decision = self._policy.choose(route_request, engines, self._clock.now())
        candidates = [
            self._candidate(view.upstreams_by_id[id_], decision)
            for id_ in self._health.avoided_last(decision.ranked_engine_ids)
        ]
        return json_response(
            ExplainResponse(
                self._policy.name,
                route_request.tokens,
                body.output_tokens,
                candidates,
                choice_reason(candidates),
            )
        )

    def _candidate(self, engine, decision):
        load = self._policy.state.loads.get(engine.id)
        return Candidate(
            engine=engine.id,
            data_centre=engine.data_centre,
            cost=decision.cost_by_id.get(engine.id),
            missing_tokens=decision.uncached_tokens_by_id.get(engine.id),
            own_tokens=load.own_tokens,
            reported_tokens=load.reported_tokens,
            failing=self._health.is_avoided(engine.id),
        )


def choice_reason(candidates):
    """Return a text that explains why the first candidate is chosen."""
    if not candidates:
        return "no engine serves the model"
    first = candidates[0]
    if first.failing:
        return f"{first.engine}: all candidates are failing"
    if first.cost is None:
        return f"{first.engine}: first in the policy's order"
    return f"{first.engine}: lowest cost, {first.cost:.0f} ms"
