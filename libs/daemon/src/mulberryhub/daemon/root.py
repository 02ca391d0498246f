"""Composition root: creates all components of a router and connects them."""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import statsd_counters
from mulberryhub.base.logs import module_logger
from mulberryhub.config.settings import Secrets
from mulberryhub.daemon.daemon import Daemon, Lifecycle
from mulberryhub.daemon.engine_orders import build_engine_reconciler
from mulberryhub.daemon.routing import build_exchange, build_policy
from mulberryhub.daemon.service_forwarder import ServiceForwarder
from mulberryhub.external.log import LogClient
from mulberryhub.external.vm_list import VmListClient
from mulberryhub.gateway.admin import AdminApi
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.completions import Completions
from mulberryhub.gateway.models import list_models
from mulberryhub.gateway.relay_dependencies import RelayDependencies
from mulberryhub.gateway.resume_token import ResumeTokenSigner
from mulberryhub.gateway.router_admin import RouterAdminApi
from mulberryhub.gateway.server import HttpServer
from mulberryhub.gateway.suspects import Suspects
from mulberryhub.limits.limiter import Limiter
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.members import RouterIdentity
from mulberryhub.peers.server import PeerServer
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.replica.member_exchange import MemberExchange
from mulberryhub.replica.membership import Membership
from mulberryhub.upstream.budget import RetryBudget
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.engine_monitor import EngineMonitor
from mulberryhub.upstream.health import UpstreamHealth

log = module_logger(__name__)


class MembersReport(msgspec.Struct):
    """The membership as the admin API reports it under `/admin/status`."""

    vms: list[str]
    holds_shares: bool


def build_daemon(settings, secrets):
    """Return a new daemon, not yet started, for `settings` and `secrets`."""
    warn_about_default_secrets(secrets)
    clock = Clock()
    counters = statsd_counters(settings.statsd_address)
    lifecycle = Lifecycle()
    log_client = LogClient(settings.log_address)
    peer_server = PeerServer(settings.peer_address, secrets.peer_key, counters)
    peer_client = PeerClient(secrets.peer_key, clock, counters)
    replica = ConfigReplica(
        log_client,
        clock,
        counters,
        call=peer_client.call,
        peer_addresses=lambda: other_peer_addresses(settings, replica),
        vm=settings.vm,
        live_vms=lambda: member_vm_ids(membership),
    )
    replica.register(peer_server)
    policy = build_policy(settings, clock, replica)
    health = UpstreamHealth(clock, counters)
    engine_monitor = EngineMonitor(replica, policy, health, clock, counters)
    engine_client = EngineClient(counters)
    identity = RouterIdentity(settings.vm, settings.data_centre, settings.peer_address)
    limiter = Limiter(identity, replica, peer_client, peer_server, clock, counters)
    member_exchange = MemberExchange(peer_client, settings.peers)
    membership = build_membership(
        settings, identity, log_client, clock, counters, limiter, member_exchange
    )
    member_exchange.register_handler(peer_server, membership.current)
    suspects = Suspects(
        settings.vm, membership.current, peer_client, peer_server, counters, clock
    )
    start_exchange = build_exchange(
        settings.vm, policy, membership, peer_client, peer_server, counters
    )
    retry_budget = RetryBudget()
    relay_dependencies = RelayDependencies(
        engine_client,
        policy,
        health,
        engine_monitor,
        retry_budget,
        ResumeTokenSigner(secrets.token_key),
        suspects,
        replica.wait_for_view,
        counters,
        clock,
    )
    completions = Completions(replica, limiter, relay_dependencies)
    service_forwarder = ServiceForwarder(
        log_client, replica, health, retry_budget, clock, counters, settings
    )
    status_reports_by_name = {
        "members": lambda: members_report(membership, limiter),
        "allowances": limiter.available_tokens_by_workspace,
        "failing_upstreams": lambda: sorted(health.failing_by_id),
    }
    admin_api = AdminApi(
        replica, counters, secrets.operator_key_hash, status_reports_by_name
    )
    engine_reconciler = build_engine_reconciler(
        settings, log_client, replica, clock, counters
    )
    router_admin_api = RouterAdminApi(
        admin_api, replica, policy, health, lifecycle, clock
    )
    gateway = Gateway(
        {
            **completion_endpoints(completions, replica),
            **admin_api.endpoints(),
            **router_admin_api.endpoints(),
        },
        service_forwarder.handle,
        lambda: replica.last_known_view is not None and limiter.is_ready,
        lambda: replica.current() is not None and limiter.is_ready,
        lambda: lifecycle.fails_readiness,
        lambda: limiter.holds_shares,
        counters,
    )
    http_server = HttpServer(settings.address, gateway)
    start_hooks = [
        replica.start,
        engine_monitor.start,
        limiter.start,
        membership.start,
        service_forwarder.start,
        engine_reconciler.start,
        start_exchange,
    ]
    stop_hooks = [
        service_forwarder.stop,
        gateway.end_running,
        limiter.close,
        membership.close,
        replica.stop,
        peer_client.close,
    ]
    return Daemon(
        settings, lifecycle, http_server, peer_server, start_hooks, stop_hooks
    )


def build_membership(
    settings, identity, log_client, clock, counters, limiter, member_exchange
):
    """Return the membership; its changes update the shares of `limiter`."""
    address = settings.vm_list_address
    vm_list_client = VmListClient(address) if address else None
    membership = Membership(
        identity,
        log_client,
        vm_list_client,
        clock,
        counters,
        limiter.is_within_view,
        member_exchange=member_exchange,
    )
    membership.on_change(limiter.update_members)
    return membership


def members_report(membership, limiter):
    """Return the ids of member VMs and whether this router may use its shares."""
    members = membership.current()
    vms = [] if members is None else sorted(members.members_by_vm)
    return MembersReport(vms, limiter.holds_shares)


def warn_about_default_secrets(secrets):
    """Log a warning for each secret that has its publicly known default."""
    defaults = Secrets()
    for name in ("token_key", "peer_key"):
        if getattr(secrets, name) == getattr(defaults, name):
            log.warning("secret {} has its default value; set it in secrets_file", name)


def member_vm_ids(membership):
    """Return the ids of member VMs, or None while the membership is unknown."""
    members = membership.current()
    return None if members is None else set(members.members_by_vm)


def other_peer_addresses(settings, replica):
    """Return the peer addresses of the other VMs.

    They are read from the inventory, or from `settings` while no inventory that lists
    VMs is known.
    """
    view = replica.last_known_view
    if view is None or not view.inventory.vms:
        return settings.peers
    vms = view.inventory.vms
    return [vm.peer_address for vm in vms if vm.id != settings.vm]


def completion_endpoints(completions, replica):
    """Return the endpoints of the OpenAI-compatible API by path."""

    def handle_models(call):
        return list_models(call, replica.wait_for_view())

    return {
        "/v1/chat/completions": Endpoint("POST", completions.handle_chat_completion),
        "/v1/completions": Endpoint("POST", completions.handle_text_completion),
        "/v1/models": Endpoint("GET", handle_models),
    }
