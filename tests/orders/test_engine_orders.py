import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep, spawn
from mulberryhub.config.inventory import Inventory, Model, Rules, Upstream
from mulberryhub.config.view import ConfigView
from mulberryhub.orders.engine_orders import (
    SETTLE_TIME,
    EngineOrders,
    fencing_number,
)

ENGINES = 6


class FakeLease:
    def __init__(self):
        self.is_held = True
        self.held_since = 0
        self.offset = 5


class Engines:
    """Engines in memory; `fencing_by_id` holds the highest number of each."""

    def __init__(self):
        self.versions_by_id = {}
        self.fencing_by_id = {}
        self.orders = []
        self.loading = 0
        self.most_loading = 0

    def read_versions(self, engine):
        return {"m": self.versions_by_id.get(engine.id)}

    def send(self, engine, order):
        self.orders.append((engine.id, order))
        highest = self.fencing_by_id.get(engine.id, 0)
        if engine.checks_fencing and order.fencing < highest:
            return 409
        self.fencing_by_id[engine.id] = order.fencing
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        sleep(0.25)
        self.loading -= 1
        self.versions_by_id[engine.id] = order.version
        return 200


def view_of(version, offset=1, checks=True, orders=("load",)):
    engines = [
        Upstream(f"e{n}", "engine", "dc", "", ["m"], list(orders), checks)
        for n in range(ENGINES)
    ]
    rules = Rules(loads_at_once=2)
    inventory = Inventory([], [Model("m", version)], engines, rules=rules)
    return ConfigView(offset, inventory)


class Router:
    """One router's orders with its own view, lease and clock."""

    def __init__(self, engines, view):
        self.view = view
        self.lease = FakeLease()
        self.clock = ManualClock(SETTLE_TIME)
        self.counters = Counters()
        self.orders = EngineOrders(
            self.lease,
            lambda: self.view,
            engines.read_versions,
            engines.send,
            self.clock,
            self.counters,
        )

    def round(self):
        spawn(self.orders.look_at_engines).wait()
        sleep(0.6)


@pytest.fixture
def engines():
    return Engines()


def test_all_engines_get_the_wanted_version_within_the_limit(engines):
    router = Router(engines, view_of("2"))
    router.round()
    assert set(engines.versions_by_id.values()) == {"2"}
    assert len(engines.orders) == ENGINES
    assert engines.most_loading <= 2
    router.round()
    assert len(engines.orders) == ENGINES


def test_no_orders_without_a_settled_lease(engines):
    router = Router(engines, view_of("2"))
    router.lease.held_since = 1
    router.round()
    router.lease.held_since = 0
    router.lease.is_held = False
    router.round()
    router.lease.is_held = True
    router.view = view_of("2", orders=())
    router.round()
    assert engines.orders == []


def test_late_order_of_a_former_holder_is_refused_or_put_right(engines):
    for checks in (True, False):
        new = Router(engines, view_of("2", offset=2, checks=checks))
        new.lease.offset = 6
        new.round()
        old = Router(engines, view_of("1", offset=1, checks=checks))
        old.round()
        assert old.counters.by_name["refusal.stale_fencing"] == (6 if checks else 0)
        new.round()
        assert set(engines.versions_by_id.values()) == {"2"}


def test_version_changed_while_an_order_waits(engines):
    router = Router(engines, view_of("2"))
    waiting = spawn(router.orders.look_at_engines)
    sleep(0.01)
    router.view = view_of("3", offset=2)
    waiting.wait()
    sleep(0.6)
    assert engines.orders[-1][1].version == "3"
    router.round()
    assert set(engines.versions_by_id.values()) == {"3"}


def test_number_grows_with_configuration_and_lease():
    numbers = [fencing_number(*pair) for pair in ((0, 9), (1, 3), (1, 4), (2, 0))]
    assert numbers == sorted(set(numbers))
