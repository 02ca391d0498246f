"""Wires the routing policy to the configuration and to the other routers."""

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

UNKNOWN_RATE = 1.0  # tokens per second


def build_policy(settings, clock, replica):
    """Return the policy that `settings` name, with rules and rates in force."""

    def rules():
        view = replica.current()
        return view.inventory.rules if view else Rules()

    def rate_of(workspace_id):
        view = replica.current()
        workspace = view.workspaces_by_id.get(workspace_id) if view else None
        return workspace.rate if workspace else UNKNOWN_RATE

    return make_policy(settings.policy, clock, rules=rules, weight_of=rate_of)


def build_exchange(vm, policy, membership, peers, peer_server, counters):
    """Return a function that starts to exchange routing updates with other members."""

    def addresses_by_vm():
        members = membership.current()
        if members is None:
            return {}
        return {
            member.vm: member.peer_address
            for member in members.members_by_vm.values()
            if member.vm != vm
        }

    def call(address, message):
        try:
            return peers.call(
                address, UPDATE_METHOD, message, UpdateMessage, EXCHANGE_PERIOD_MS
            )
        except PeerUnavailable:
            counters.add("routing.news_lost")
            return None

    exchange = UpdateExchange(vm, policy, addresses_by_vm, call)
    peer_server.register_handler(UPDATE_METHOD, UpdateMessage, exchange.handle_message)
    return lambda: spawn_n(exchange.run)
