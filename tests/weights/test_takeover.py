"""How soon loads are ordered after the lease's holder has stopped or all have started.

Orders of two holders are HANDOVER_DELAY_MS apart. The bounds are that time, or that
time after the end of a lease, and one renewal interval.
"""

import pytest

from mulberryhub.fleet.records import Member, Weights
from mulberryhub.weights.manager import LEASE_RENEWAL_INTERVAL_MS
from mulberryhub.weights.messages import OrderResult
from mulberryhub.weights.plan import EXPECTED_LOAD_TIME_MS
from mulberryhub.weights.takeover import MAX_TAKEOVER_RANK
from tests.forward.fakes import MODEL
from tests.weights.simulated_fleet import (
    HANDOVER_DELAY_MS,
    LEASE_DURATION_MS,
    SimulatedFleet,
)

NAMES = ["n0", "n1"]
MAX_START_MS = HANDOVER_DELAY_MS + LEASE_RENEWAL_INTERVAL_MS
MAX_HANDOVER_MS = LEASE_DURATION_MS + MAX_START_MS


class Routers:
    """Routers whose only upstream is busy with other orders all the time."""

    def __init__(self):
        self.fleet = SimulatedFleet(upstreams=1)
        self.engine = self.fleet.engines_by_id["u0"]
        self.engine.results = [OrderResult.BUSY] * 10_000
        self.parts_by_name = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        manager, fleet_state = self.fleet.add_manager(name)
        fleet_state.apply(Weights(MODEL, 2))
        self.parts_by_name[name] = manager, fleet_state

    def run(self, duration, *names):
        for _ in range(duration // 50):
            self.fleet.run(50, *(self.parts_by_name[name][0] for name in names))
            self._exchange_rollouts(names)

    def run_until_order(self, *names):
        """Return the ms until the next order, and its sender."""
        started_at = self.fleet.clock.now()
        count = len(self.engine.orders)
        while len(self.engine.orders) == count:
            self.run(50, *names)
            assert self.fleet.clock.now() - started_at < 30_000
        return self.fleet.clock.now() - started_at, self.engine.orders[-1].holder

    def _exchange_rollouts(self, names):
        fleet_states = [self.parts_by_name[name][1] for name in names]
        newest = max(
            (state.rollout for state in fleet_states), key=lambda item: item.order
        )
        for fleet_state in fleet_states:
            fleet_state.apply_rollout(newest)


def other_than(name):
    return next(item for item in NAMES if item != name)


@pytest.mark.parametrize("duration", [300, 1_000, 2_500, 6_000])
def test_other_router_orders_soon_after_the_holder_has_stopped(duration):
    routers = Routers()
    _, holder = routers.run_until_order(*NAMES)
    routers.run(duration, *NAMES)
    elapsed, sender = routers.run_until_order(other_than(holder))
    assert sender != holder
    assert HANDOVER_DELAY_MS <= elapsed <= MAX_HANDOVER_MS


def test_holder_that_was_restarted_with_all_others_orders_soon():
    routers = Routers()
    _, first = routers.run_until_order(*NAMES)
    _, second = routers.run_until_order(other_than(first))
    assert second != first
    routers.run(HANDOVER_DELAY_MS, second)
    for name in NAMES:
        routers.start(name)
    elapsed, sender = routers.run_until_order(*NAMES)
    assert sender == second
    assert elapsed <= MAX_START_MS


def test_holder_that_was_restarted_alone_orders_soon():
    routers = Routers()
    _, holder = routers.run_until_order(*NAMES)
    routers.run(HANDOVER_DELAY_MS, *NAMES)
    routers.start(holder)
    elapsed, sender = routers.run_until_order(*NAMES)
    assert sender == holder
    assert elapsed <= MAX_START_MS


def test_restarted_holder_leaves_the_loads_of_its_earlier_process_their_time():
    routers = Routers()
    _, holder = routers.run_until_order(*NAMES)
    routers.start(holder)
    elapsed, _ = routers.run_until_order(*NAMES)
    assert elapsed >= EXPECTED_LOAD_TIME_MS


def test_no_other_router_takes_the_lease_of_a_holder_whose_loads_wait():
    routers = Routers()
    _, holder = routers.run_until_order(*NAMES)
    routers.run(20_000, *NAMES)
    assert {order.holder for order in routers.engine.orders} == {holder}


def test_first_reads_of_the_lease_do_not_grow_with_the_number_of_routers():
    fleet = SimulatedFleet()
    names = [f"n{number}" for number in range(40)]
    managers = []
    for name in names:
        manager, fleet_state = fleet.add_manager(name, reads_lease=False)
        for offset, member in enumerate(names, start=1):
            fleet_state.apply(Member(member, f"{member}:1", "a", offset))
        fleet_state.apply(Weights(MODEL, 2))
        managers.append(manager)
    fleet.run(500, *managers)
    assert fleet.log.reads == MAX_TAKEOVER_RANK
