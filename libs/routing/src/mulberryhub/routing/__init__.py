"""Routing policies, which choose an upstream for each request."""

from mulberryhub.routing.policies import make_policy, policy_names
from mulberryhub.routing.prefix_chain import chat_request, prefix_chain, text_request
from mulberryhub.routing.request import Decision, RouteRequest, Scope

__all__ = [
    "Decision",
    "RouteRequest",
    "Scope",
    "chat_request",
    "make_policy",
    "policy_names",
    "prefix_chain",
    "text_request",
]
