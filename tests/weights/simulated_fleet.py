"""Weight managers with in-memory upstreams and leases in a shared log."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Member, Usage
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.loads import Loads
from mulberryhub.orders.lease import Lease
from mulberryhub.weights.manager import RolloutManager
from mulberryhub.weights.messages import EngineReport, OrderResult
from mulberryhub.weights.plan import PoolBuilder
from tests.forward.fakes import MODEL, make_upstream
from tests.support.memory_log import MemoryLog

HANDOVER_DELAY_MS = 3_000
VERSION_TIME_MS = 12_000
LEASE_DURATION_MS = 2_000
LEASE_MARGIN_MS = 300


class FakeEngine:
    def __init__(self):
        self.version = 1
        self.orders = []
        self.results = []

    def report(self):
        return EngineReport({MODEL: self.version}, False, len(self.orders), 0, 0)

    def execute(self, order):
        self.orders.append(order)
        if self.results:
            return self.results.pop(0)
        self.version = order.version
        return OrderResult.ACCEPTED


class SimulatedFleet:
    def __init__(self, upstreams=3):
        self.clock = ManualClock(now=100_000)
        self.log = MemoryLog(self.clock)
        self.engines_by_id = {f"u{n}": FakeEngine() for n in range(upstreams)}
        self.managers = []

    def add_manager(self, name, reads_lease=True):
        fleet_state = FleetState(self.clock)
        for index, id in enumerate(self.engines_by_id):
            fleet_state.apply(make_upstream(id, index + 1))
        for index in range(2):
            fleet_state.apply(Member(f"n{index}", f"n{index}:1", "a", index + 1))
        lease = Lease(
            self.log,
            self.clock,
            Counters(),
            "orders",
            name,
            LEASE_DURATION_MS,
            LEASE_MARGIN_MS,
        )
        loads = Loads(Usage, self.clock)
        manager = RolloutManager(
            name,
            fleet_state,
            lease,
            lambda upstream: self.engines_by_id[upstream.id].report(),
            lambda upstream, order: self.engines_by_id[upstream.id].execute(order),
            loads,
            PoolBuilder(fleet_state, loads.work, lambda id: False, lambda service: 0),
            HANDOVER_DELAY_MS,
            VERSION_TIME_MS,
            self.clock,
            Counters(),
        )
        if reads_lease:
            lease.read_new_records()
        self.managers.append(manager)
        return manager, fleet_state

    def run(self, duration, *managers):
        for _ in range(duration // 50):
            self.clock.advance(50)
            for manager in managers:
                manager.step()
