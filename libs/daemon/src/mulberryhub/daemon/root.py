"""The composition root: the only place that wires the parts of a router."""

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import statsd_counters
from mulberryhub.base.errors import Code, HubError
from mulberryhub.daemon.daemon import Daemon
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.completions import Completions
from mulberryhub.gateway.models import list_models
from mulberryhub.gateway.server import HttpServer
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.server import PeerServer
from mulberryhub.platform.log import LogClient
from mulberryhub.replica.config import ConfigReplica
from mulberryhub.routing.policies import make_policy
from mulberryhub.upstream.engine import EngineClient


def build(settings, secrets):
    """Return the daemon for `settings` and `secrets`, not yet started."""
    clock = Clock()
    counters = statsd_counters(settings.statsd_address)
    log = LogClient(settings.log_address)
    peers = PeerClient(secrets.peer_key, clock, counters)
    peer_server = PeerServer(settings.peer_address, secrets.peer_key, counters)
    replica = ConfigReplica(log, clock, counters)
    policy = make_policy(settings.policy, clock)
    engines = EngineClient(counters)
    completions = Completions(replica, limiter, policy, engines, counters, clock)
    gateway = Gateway(
        {
            "/v1/chat/completions": Endpoint("POST", completions.chat),
            "/v1/completions": Endpoint("POST", completions.complete),
            "/v1/models": Endpoint("GET", lambda call: list_models(call, replica.current())),
        },
        fallback,
        lambda: replica.current() is not None,
        counters,
    )
    return Daemon(HttpServer(settings.address, gateway), [replica], [peer_server])
