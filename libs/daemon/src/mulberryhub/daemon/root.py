"""The composition root: the only place that wires the parts of a router."""

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import statsd_counters
from mulberryhub.base.errors import Code, HubError
from mulberryhub.daemon.daemon import Daemon, Lifecycle
from mulberryhub.daemon.unlimited import UnlimitedLimiter
from mulberryhub.gateway.admin import Administration
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.attempts import RelayServices
from mulberryhub.gateway.completions import Completions
from mulberryhub.gateway.models import list_models
from mulberryhub.gateway.resume_token import TokenSigner
from mulberryhub.gateway.server import HttpServer
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.server import PeerServer
from mulberryhub.platform.log import LogClient
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.routing.policies import make_policy
from mulberryhub.upstream.budget import RetryBudget
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.health import Health
from mulberryhub.upstream.watcher import Watcher


def build(settings, secrets):
    """Return the daemon for `settings` and `secrets`, not yet started."""
    clock = Clock()
    counters = statsd_counters(settings.statsd_address)
    lifecycle = Lifecycle()
    log = LogClient(settings.log_address)
    peer_server = PeerServer(settings.peer_address, secrets.peer_key, counters)
    peers = PeerClient(secrets.peer_key, clock, counters)
    replica = ConfigReplica(
        log,
        clock,
        counters,
        call=peers.call,
        peer_addresses=lambda: peer_addresses(settings, replica),
        vm=settings.vm,
    )
    replica.register(peer_server)
    policy = make_policy(settings.policy, clock)
    health = Health(clock, counters)
    watcher = Watcher(replica, policy, health, clock, counters)
    engines = EngineClient(counters)
    limiter = UnlimitedLimiter()
    services = RelayServices(
        engines,
        policy,
        health,
        watcher,
        RetryBudget(),
        TokenSigner(secrets.token_key),
        replica.current,
        counters,
        clock,
    )
    completions = Completions(replica, limiter, services)
    administration = Administration(replica, counters, secrets.operator_key_hash)
    gateway = Gateway(
        {
            **completion_endpoints(completions, replica),
            **administration.endpoints(),
        },
        refuse_unknown_route,
        lambda: replica.current() is not None,
        lambda: lifecycle.stopping,
        counters,
    )
    http = HttpServer(settings.address, gateway)
    return Daemon(
        settings, lifecycle, http, peer_server, [replica.start, watcher.start], []
    )


def peer_addresses(settings, replica):
    """Return the peer addresses of the other VMs: the inventory's, else the settings'.

    The settings count until an inventory is in force.
    """
    view = replica.last_view
    if view is None or not view.inventory.vms:
        return settings.peers
    vms = view.inventory.vms
    return [vm.peer_address for vm in vms if vm.id != settings.vm]


def completion_endpoints(completions, replica):
    """Return the endpoints of the completions interface by path."""

    def models(call):
        return list_models(call, replica.current())

    return {
        "/v1/chat/completions": Endpoint("POST", completions.chat),
        "/v1/completions": Endpoint("POST", completions.complete),
        "/v1/models": Endpoint("GET", models),
    }


def refuse_unknown_route(call):
    """Refuse a call on a path that nothing serves."""
    raise HubError(Code.UNKNOWN_ROUTE, "nothing serves this path")
