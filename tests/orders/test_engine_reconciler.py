import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep, spawn
from mulberryhub.config.inventory import Inventory, Model, Rules, Upstream
from mulberryhub.config.view import ConfigView
from mulberryhub.orders.engine_reconciler import (
    LEASE_SETTLE_MS,
    EngineReconciler,
    fencing_token,
)

ENGINE_COUNT = 6


class FakeLease:
    def __init__(self):
        self.is_held = True
        self.held_since_ms = 0
        self.offset = 5


class FakeEngines:
    """Engines in memory; `token_by_id` holds the last fencing token that each took."""

    def __init__(self):
        self.version_by_id = {}
        self.token_by_id = {}
        self.orders = []
        self.loading_count = 0
        self.max_loading_count = 0

    def read_versions(self, engine):
        return {"m": self.version_by_id.get(engine.id)}

    def send(self, engine, order):
        self.orders.append((engine.id, order))
        last_token = self.token_by_id.get(engine.id, 0)
        if engine.checks_fencing and order.fencing < last_token:
            return 409
        self.token_by_id[engine.id] = order.fencing
        self.loading_count += 1
        self.max_loading_count = max(self.max_loading_count, self.loading_count)
        sleep(0.25)
        self.loading_count -= 1
        self.version_by_id[engine.id] = order.version
        return 200


def make_view(version, offset=1, checks_fencing=True, orders=("load",)):
    engines = [
        Upstream(f"e{n}", "engine", "dc", "", ["m"], list(orders), checks_fencing)
        for n in range(ENGINE_COUNT)
    ]
    rules = Rules(loads_at_once=2)
    inventory = Inventory([], [Model("m", version)], engines, rules=rules)
    return ConfigView(offset, inventory)


class Router:
    """The EngineReconciler of one router, with its own view, lease and clock."""

    def __init__(self, engines, view):
        self.view = view
        self.lease = FakeLease()
        self.clock = ManualClock(LEASE_SETTLE_MS)
        self.counters = Counters()
        self.reconciler = EngineReconciler(
            self.lease,
            lambda: self.view,
            engines.read_versions,
            engines.send,
            self.clock,
            self.counters,
        )

    def reconcile(self):
        spawn(self.reconciler.reconcile_engines).wait()
        sleep(0.6)


@pytest.fixture
def engines():
    return FakeEngines()


def test_all_engines_load_the_desired_version_within_the_concurrency_limit(engines):
    router = Router(engines, make_view("2"))
    router.reconcile()
    assert set(engines.version_by_id.values()) == {"2"}
    assert len(engines.orders) == ENGINE_COUNT
    assert engines.max_loading_count <= 2
    router.reconcile()
    assert len(engines.orders) == ENGINE_COUNT


def test_no_orders_without_a_settled_lease_or_load_support(engines):
    router = Router(engines, make_view("2"))
    router.lease.held_since_ms = 1
    router.reconcile()
    router.lease.held_since_ms = 0
    router.lease.is_held = False
    router.reconcile()
    router.lease.is_held = True
    router.view = make_view("2", orders=())
    router.reconcile()
    assert engines.orders == []


def test_stale_order_of_a_former_holder_is_refused_or_corrected(engines):
    for checks_fencing in (True, False):
        new = Router(engines, make_view("2", offset=2, checks_fencing=checks_fencing))
        new.lease.offset = 6
        new.reconcile()
        old = Router(engines, make_view("1", offset=1, checks_fencing=checks_fencing))
        old.reconcile()
        assert old.counters.by_name["refusal.stale_fencing"] == (
            6 if checks_fencing else 0
        )
        new.reconcile()
        assert set(engines.version_by_id.values()) == {"2"}


def test_version_changes_while_an_order_waits(engines):
    router = Router(engines, make_view("2"))
    thread = spawn(router.reconciler.reconcile_engines)
    sleep(0.01)
    router.view = make_view("3", offset=2)
    thread.wait()
    sleep(0.6)
    assert engines.orders[-1][1].version == "3"
    router.reconcile()
    assert set(engines.version_by_id.values()) == {"3"}


def test_fencing_token_increases_with_configuration_and_lease():
    tokens = [fencing_token(*pair) for pair in ((0, 9), (1, 3), (1, 4), (2, 0))]
    assert tokens == sorted(set(tokens))
