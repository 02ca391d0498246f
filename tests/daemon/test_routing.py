import time

import pytest

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.config.inventory import Inventory, Rules, Upstream, Workspace
from mulberryhub.config.settings import Settings
from mulberryhub.config.view import ConfigView
from mulberryhub.daemon.routing import build_exchange, build_policy
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.members import Member, MembershipState
from mulberryhub.peers.server import PeerServer
from mulberryhub.routing.prefix_chain import chat_request
from mulberryhub.routing.request import Scope

PEER_KEY = "secret"
NEWS_TIMEOUT = 20  # s
ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(10)]


class FixedReplica:
    def __init__(self, view=None):
        self.view = view

    def current(self):
        return self.view


class FixedMembership:
    def __init__(self):
        self.members = None

    def current(self):
        return self.members


class RouterParts:
    def __init__(self, vm):
        self.vm = vm
        self.counters = Counters()
        self.server = PeerServer("127.0.0.1:0", PEER_KEY, self.counters)
        self.client = PeerClient(PEER_KEY, Clock(), self.counters)
        self.membership = FixedMembership()
        settings = Settings(vm, "a", "", "", "", policy="cost")
        self.policy = build_policy(settings, Clock(), FixedReplica())
        parts = self.vm, self.policy, self.membership, self.client
        self.start = build_exchange(*parts, self.server, self.counters)
        self.server.start()

    def stop(self):
        self.membership.members = None
        self.client.close()
        self.server.stop(0)


@pytest.fixture
def routers():
    routers = [RouterParts(vm) for vm in ("vm-1", "vm-2")]
    yield routers
    for router in routers:
        router.stop()


def join(routers, addresses_by_vm=None):
    addresses = addresses_by_vm or {r.vm: r.server.address for r in routers}
    members_by_vm = {vm: Member(vm, "1", "a", at) for vm, at in addresses.items()}
    for router in routers:
        router.membership.members = MembershipState(members_by_vm, [])
        router.start()


def eventually(condition):
    deadline = time.monotonic() + NEWS_TIMEOUT
    while not condition():
        assert time.monotonic() < deadline
        sleep(0.02)


def request():
    messages = [("system", "rules"), ("user", "part " * 4_500), ("user", "which?")]
    return chat_request(Scope("a", "small", "1"), messages)


def test_routers_learn_from_each_other(routers):
    one, other = routers
    join(routers)
    decision = one.policy.choose(request(), ENGINES, 0)
    last = decision.ranked_engine_ids[-1]
    one.policy.record_sent(decision, last)
    one.policy.record_first_token(decision, last, 4_000, 50)
    eventually(
        lambda: last in other.policy.choose(request(), ENGINES, 0).uncached_tokens_by_id
    )


def test_unreachable_peer_is_counted(routers):
    join(routers[:1], {"vm-1": "", "vm-2": "127.0.0.1:1"})
    eventually(lambda: routers[0].counters.by_name["routing.news_lost"])


def test_policy_reads_what_is_in_force():
    inventory = Inventory(
        rules=Rules(latency_weight=0.0, recomputation_weight=0.0),
        workspaces=[Workspace("a", 10.0, 10.0)],
    )
    replica = FixedReplica()
    settings = Settings("vm-1", "a", "", "", "", policy="cost")
    policy = build_policy(settings, ManualClock(), replica)
    assert max(policy.choose(request(), ENGINES, 0).cost_by_id.values()) > 100
    replica.view = ConfigView(1, inventory)
    first = policy.choose(request(), ENGINES, 0)
    assert first.cost_by_id[first.ranked_engine_ids[0]] == 0
