"""The manager against upstreams in memory, with leases over a shared log."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.fleet.records import Member, Removal, Use, Weights
from mulberryhub.forward.loads import Loads
from mulberryhub.orders.lease import Lease
from mulberryhub.weights import manager as module
from mulberryhub.weights.manager import Manager
from mulberryhub.weights.messages import EngineReport, OrderResult
from mulberryhub.weights.plan import PoolView
from tests.forward.fakes import MODEL, make_upstream
from tests.support.memory_log import MemoryLog

SETTLE_TIME = 3_000  # ms
VERSION_TIME = 12_000  # ms
DURATION = 2_000  # ms
MARGIN = 300  # ms


class Engine:
    def __init__(self):
        self.version = 1
        self.orders = []
        self.answers = []

    def report(self):
        return EngineReport({MODEL: self.version}, False, len(self.orders), 0, 0)

    def take(self, order):
        self.orders.append(order)
        if self.answers:
            return self.answers.pop(0)
        self.version = order.version
        return OrderResult.ACCEPTED


class World:
    def __init__(self, upstreams=3):
        self.clock = ManualClock(now=100_000)
        self.log = MemoryLog(self.clock)
        self.engines_by_id = {f"u{n}": Engine() for n in range(upstreams)}
        self.managers = []

    def add_manager(self, name):
        beliefs = Beliefs(self.clock)
        for index, id in enumerate(self.engines_by_id):
            beliefs.learn(make_upstream(id, index + 1))
        for index in range(2):
            beliefs.learn(Member(f"n{index}", f"n{index}:1", "a", index + 1))
        lease = Lease(
            self.log, self.clock, Counters(), "orders", name, DURATION, MARGIN
        )
        loads = Loads(Use, self.clock)
        manager = Manager(
            name,
            beliefs,
            lease,
            lambda upstream: self.engines_by_id[upstream.id].report(),
            lambda upstream, order: self.engines_by_id[upstream.id].take(order),
            loads,
            PoolView(beliefs, loads.work, lambda id: False, lambda service: 0),
            SETTLE_TIME,
            VERSION_TIME,
            self.clock,
            Counters(),
        )
        lease.step_reading()
        self.managers.append(manager)
        return manager, beliefs

    def run(self, duration, *managers):
        for _ in range(duration // 50):
            self.clock.advance(50)
            for manager in managers:
                manager.step()


@pytest.fixture(autouse=True)
def in_place(monkeypatch):
    """Run loads at once, in the caller's place, without pauses."""
    monkeypatch.setattr(module, "spawn_task", lambda function, item: function(item))
    monkeypatch.setattr(module, "sleep", lambda seconds: None)


def test_all_upstreams_get_the_newest_version():
    world = World()
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 4))
    world.run(10_000, manager)
    assert [engine.version for engine in world.engines_by_id.values()] == [4, 4, 4]
    assert [len(engine.orders) for engine in world.engines_by_id.values()] == [1, 1, 1]
    assert not beliefs.loading_ids()


def test_nothing_is_ordered_without_the_lease():
    world = World()
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 2))
    manager.step()
    assert not any(engine.orders for engine in world.engines_by_id.values())


def test_another_router_takes_over_only_after_the_settle_time():
    world = World(upstreams=2)
    first, first_beliefs = world.add_manager("n0")
    second, second_beliefs = world.add_manager("n1")
    for beliefs in (first_beliefs, second_beliefs):
        beliefs.learn(Weights(MODEL, 2))
    world.engines_by_id["u0"].answers = [OrderResult.BUSY] * 1_000
    world.run(6_000, first)
    last = world.clock.now()
    assert len(world.engines_by_id["u0"].orders) > 1
    engine = world.engines_by_id["u0"]
    count = len(engine.orders)
    while len(engine.orders) == count:
        world.run(50, second)
        assert world.clock.now() - last < 30_000
    assert engine.orders[-1].holder == "n1"
    assert world.clock.now() - last >= SETTLE_TIME
    assert engine.orders[-1].fence > engine.orders[count - 1].fence


def test_a_fenced_holder_gives_no_more_orders_under_its_number():
    world = World(upstreams=1)
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 2))
    engine = world.engines_by_id["u0"]
    engine.answers = [OrderResult.FENCED] * 1_000
    world.run(8_000, manager)
    fences = [order.fence for order in engine.orders]
    assert len(fences) == len(set(fences))


def test_an_order_without_an_answer_is_repeated_for_the_same_place():
    world = World(upstreams=1)
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 2))
    engine = world.engines_by_id["u0"]
    engine.answers = [OrderResult.UNKNOWN]
    world.run(8_000, manager)
    assert engine.version == 2
    assert [order.orders_before for order in engine.orders] == [0, 1]


def test_an_order_without_an_answer_is_given_again_before_others_load():
    world = World(upstreams=1)
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 2))
    engine = world.engines_by_id["u0"]
    engine.answers = [OrderResult.UNKNOWN] * 3
    while not engine.orders:
        world.run(50, manager)
    assert engine.version == 2
    assert len(engine.orders) == 4


def test_an_upstream_whose_address_is_anothers_now_is_forgotten():
    world = World(upstreams=1)
    manager, beliefs = world.add_manager("n0")
    beliefs.learn(Weights(MODEL, 2))
    world.engines_by_id["u0"].answers = [OrderResult.OTHER_UPSTREAM]
    world.run(8_000, manager)
    assert not beliefs.upstreams_by_id
    assert Removal("u0", 1) in beliefs.changes_since(0)
