"""The composition root: the only place that wires the parts of a router."""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import statsd_counters
from mulberryhub.base.logs import module_logger
from mulberryhub.config.settings import Secrets
from mulberryhub.daemon.daemon import Daemon, Lifecycle
from mulberryhub.daemon.engine_orders import build_engine_reconciler
from mulberryhub.daemon.plain_services import PlainServices
from mulberryhub.daemon.routing import build_exchange, build_policy
from mulberryhub.external.log import LogClient
from mulberryhub.external.vm_list import VmListClient
from mulberryhub.gateway.admin import AdminApi
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.attempts import RelayDependencies
from mulberryhub.gateway.completions import Completions
from mulberryhub.gateway.models import list_models
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
    """What `status` shows of the membership."""

    vms: list[str]
    holds_shares: bool


def build(settings, secrets):
    """Return the daemon for `settings` and `secrets`, not yet started."""
    warn_of_development_secrets(secrets)
    clock = Clock()
    counters = statsd_counters(settings.statsd_address)
    lifecycle = Lifecycle()
    log_client = LogClient(settings.log_address)
    peer_server = PeerServer(settings.peer_address, secrets.peer_key, counters)
    peers = PeerClient(secrets.peer_key, clock, counters)
    replica = ConfigReplica(
        log_client,
        clock,
        counters,
        call=peers.call,
        peer_addresses=lambda: peer_addresses(settings, replica),
        vm=settings.vm,
        live_vms=lambda: live_vms(membership),
    )
    replica.register(peer_server)
    policy = build_policy(settings, clock, replica)
    health = UpstreamHealth(clock, counters)
    engine_monitor = EngineMonitor(replica, policy, health, clock, counters)
    engines = EngineClient(counters)
    router = RouterIdentity(settings.vm, settings.data_centre, settings.peer_address)
    limiter = Limiter(router, replica, peers, peer_server, clock, counters)
    member_exchange = MemberExchange(peers, settings.peers)
    membership = build_membership(
        settings, router, log_client, clock, counters, limiter, member_exchange
    )
    member_exchange.register_handler(peer_server, membership.current)
    suspects = Suspects(
        settings.vm, membership.current, peers, peer_server, counters, clock
    )
    start_exchange = build_exchange(
        settings.vm, policy, membership, peers, peer_server, counters
    )
    budget = RetryBudget()
    relay_dependencies = RelayDependencies(
        engines,
        policy,
        health,
        engine_monitor,
        budget,
        ResumeTokenSigner(secrets.token_key),
        suspects,
        replica.wait_for_view,
        counters,
        clock,
    )
    completions = Completions(replica, limiter, relay_dependencies)
    plain_services = PlainServices(
        log_client, replica, health, budget, clock, counters, settings
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
    router_admin = RouterAdminApi(admin_api, replica, policy, health, lifecycle, clock)
    gateway = Gateway(
        {
            **completion_endpoints(completions, replica),
            **admin_api.endpoints(),
            **router_admin.endpoints(),
        },
        plain_services.handle,
        lambda: replica.current() is not None and limiter.is_ready,
        lambda: lifecycle.is_ending,
        lambda: limiter.holds_shares,
        counters,
    )
    http = HttpServer(settings.address, gateway)
    on_start = [
        replica.start,
        engine_monitor.start,
        limiter.start,
        membership.start,
        plain_services.start,
        engine_reconciler.start,
        start_exchange,
    ]
    on_stop = [
        plain_services.stop,
        limiter.close,
        membership.close,
        replica.stop,
        peers.close,
    ]
    return Daemon(settings, lifecycle, http, peer_server, on_start, on_stop)


def build_membership(
    settings, router, log_client, clock, counters, limiter, member_exchange
):
    """Return the membership, which tells `limiter` who shares the allowances."""
    address = settings.vm_list_address
    vm_list = VmListClient(address) if address else None
    membership = Membership(
        router,
        log_client,
        vm_list,
        clock,
        counters,
        limiter.is_within_view,
        member_exchange=member_exchange,
    )
    membership.on_change(limiter.update_members)
    return membership


def members_report(membership, limiter):
    """Return the members' VMs and whether this router holds its shares."""
    members = membership.current()
    vms = [] if members is None else sorted(members.members_by_vm)
    return MembersReport(vms, limiter.holds_shares)


def warn_of_development_secrets(secrets):
    """Log a warning where a secret has its default, which everybody knows."""
    defaults = Secrets()
    for name in ("token_key", "peer_key"):
        if getattr(secrets, name) == getattr(defaults, name):
            log.warning("the secret {} has its default; set it in secrets_file", name)


def live_vms(membership):
    """Return the ids of the member VMs, or None while they are not known."""
    members = membership.current()
    return None if members is None else set(members.members_by_vm)


def peer_addresses(settings, replica):
    """Return the peer addresses of the other VMs: the inventory's, else the settings'.

    The settings count until an inventory is in force.
    """
    view = replica.last_known_view
    if view is None or not view.inventory.vms:
        return settings.peers
    vms = view.inventory.vms
    return [vm.peer_address for vm in vms if vm.id != settings.vm]


def completion_endpoints(completions, replica):
    """Return the endpoints of the completions interface by path."""

    def models(call):
        return list_models(call, replica.wait_for_view())

    return {
        "/v1/chat/completions": Endpoint("POST", completions.handle_chat_completion),
        "/v1/completions": Endpoint("POST", completions.handle_text_completion),
        "/v1/models": Endpoint("GET", models),
    }
