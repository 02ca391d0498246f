"""Connects the routing policy to the configuration and to the other routers."""

from mulberryhub.base.green import spawn_n
from mulberryhub.config.inventory import Rules
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.routing.exchange import (
    EXCHANGE_PERIOD_MS,
    UPDATE_METHOD,
    UpdateExchange,
    UpdateMessage,
)
from mulberryhub.routing.policies import make_policy

# Used for workspaces that the current configuration does not contain.
DEFAULT_RATE_TOKENS_PER_S = 1.0


def build_policy(settings, clock, replica):
    """Return the policy named in `settings`.

    The policy reads the rules and the rates of workspaces from the current
    configuration of `replica`, with the default rules while there is none.
    """

    def current_rules():
        view = replica.current()
        return view.inventory.rules if view else Rules()

    def workspace_rate(workspace_id):
        view = replica.current()
        workspace = view.workspaces_by_id.get(workspace_id) if view else None
        return workspace.rate if workspace else DEFAULT_RATE_TOKENS_PER_S

    return make_policy(
        settings.policy, clock, rules=current_rules, workspace_weight=workspace_rate
    )


def build_exchange(vm, policy, membership, peer_client, peer_server, counters):
    """Return a function that starts the exchange of routing updates.

    Updates are exchanged with the other members of `membership`. A call to a peer
    that cannot be reached is counted as `routing.news_lost`.
    """

    def addresses_by_vm():
        members = membership.current()
        if members is None:
            return {}
        return {
            member.vm: member.peer_address
            for member in members.members_by_vm.values()
            if member.vm != vm
        }

    def call_peer(address, message):
        try:
            return peer_client.call(
                address, UPDATE_METHOD, message, UpdateMessage, EXCHANGE_PERIOD_MS
            )
        except PeerUnavailable:
            counters.add("routing.news_lost")
            return None

    exchange = UpdateExchange(vm, policy, addresses_by_vm, call_peer)
    peer_server.register_handler(UPDATE_METHOD, UpdateMessage, exchange.handle_message)
    return lambda: spawn_n(exchange.run)
