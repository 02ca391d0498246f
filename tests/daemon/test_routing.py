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
CONDITION_TIMEOUT_S = 20
ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(10)]


class StubReplica:
    def __init__(self, view=None):
        self.view = view

    def current(self):
        return self.view


class StubMembership:
    def __init__(self):
        self.members = None

    def current(self):
        return self.members


class RouterHarness:
    def __init__(self, vm):
        self.vm = vm
        self.counters = Counters()
        self.server = PeerServer("127.0.0.1:0", PEER_KEY, self.counters)
        self.client = PeerClient(PEER_KEY, Clock(), self.counters)
        self.membership = StubMembership()
        settings = Settings(vm, "a", "", "", "", policy="cost")
        self.policy = build_policy(settings, Clock(), StubReplica())
        dependencies = self.vm, self.policy, self.membership, self.client
        self.start = build_exchange(*dependencies, self.server, self.counters)
        self.server.start()

    def stop(self):
        self.membership.members = None
        self.client.close()
        self.server.stop(0)


@pytest.fixture
def routers():
    routers = [RouterHarness(vm) for vm in ("vm-1", "vm-2")]
    yield routers
    for router in routers:
        router.stop()


def start_exchanges(routers, addresses_by_vm=None):
    addresses = addresses_by_vm or {
        router.vm: router.server.address for router in routers
    }
    members_by_vm = {
        vm: Member(vm, "1", "a", address) for vm, address in addresses.items()
    }
    for router in routers:
        router.membership.members = MembershipState(members_by_vm, [])
        router.start()


def wait_until(condition):
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        sleep(0.02)


def make_request():
    messages = [("system", "rules"), ("user", "part " * 4_500), ("user", "which?")]
    return chat_request(Scope("a", "small", "1"), messages)


def test_routers_learn_cached_prefixes_from_each_other(routers):
    first, second = routers
    start_exchanges(routers)
    decision = first.policy.choose(make_request(), ENGINES, 0)
    engine_id = decision.ranked_engine_ids[-1]
    first.policy.record_sent(decision, engine_id)
    first.policy.record_first_token(decision, engine_id, 4_000, 50)
    wait_until(
        lambda: (
            engine_id
            in second.policy.choose(make_request(), ENGINES, 0).uncached_tokens_by_id
        )
    )


def test_call_to_unreachable_peer_is_counted(routers):
    start_exchanges(routers[:1], {"vm-1": "", "vm-2": "127.0.0.1:1"})
    wait_until(lambda: routers[0].counters.by_name["routing.news_lost"])


def test_policy_uses_rules_and_rates_of_current_configuration():
    inventory = Inventory(
        rules=Rules(latency_weight=0.0, recomputation_weight=0.0),
        workspaces=[Workspace("a", 10.0, 10.0)],
    )
    replica = StubReplica()
    settings = Settings("vm-1", "a", "", "", "", policy="cost")
    policy = build_policy(settings, ManualClock(), replica)
    assert max(policy.choose(make_request(), ENGINES, 0).cost_by_id.values()) > 100
    replica.view = ConfigView(1, inventory)
    decision = policy.choose(make_request(), ENGINES, 0)
    assert decision.cost_by_id[decision.ranked_engine_ids[0]] == 0
