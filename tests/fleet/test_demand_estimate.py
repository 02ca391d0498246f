"""The demand of clients as a router knows it that does not hear some of the others.

The loads of weights that it then allows at once are those of the real demand.
"""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.demand_estimate import (
    SAMPLE_INTERVAL_MS,
    SETTLING_TIME_MS,
    DemandEstimate,
)
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.router_counts import MEMORY_MS
from mulberryhub.fleet.usage import UsageTable
from mulberryhub.weights.plan import max_concurrent_loads
from tests.weights.test_plan import make_outdated, make_pool

SERVICE = "llm"
ROUTERS = 6
DEMAND_PER_ROUTER = 900  # ms of engine time per s
TOTAL_DEMAND = ROUTERS * DEMAND_PER_ROUTER
POOL_SIZE = 10
REPORT_INTERVAL_MS = 250
CUT_TIMES_MS = [1_000, 5_000, 58_000]


class Fixture:
    """A router that hears reports of the `heard` others."""

    def __init__(self):
        self.clock = ManualClock(now=50_000)
        self.own_demand = DEMAND_PER_ROUTER
        self.table = UsageTable(self._measure, "a", 8_000, self.clock)
        self.estimate = DemandEstimate(self._read_usage, self.clock)
        self.heard = ROUTERS - 1
        self.run(2 * SETTLING_TIME_MS)

    def _measure(self):
        return Usage(demand_by_service={SERVICE: self.own_demand})

    def _read_usage(self):
        usage = self.table.own()
        others = self.table.others()
        if others is not None:
            usage.add(others)
        return usage

    def run(self, duration, demand=DEMAND_PER_ROUTER):
        """Let all that are heard report for `duration` ms."""
        for passed in range(0, duration, REPORT_INTERVAL_MS):
            self.clock.advance(REPORT_INTERVAL_MS)
            for index in range(self.heard):
                usage = Usage(demand_by_service={SERVICE: demand})
                self.table.record_report(f"n{index}", usage, {})
            if passed % SAMPLE_INTERVAL_MS == 0:
                self.estimate.sample()

    def allowed_loads(self):
        pool = make_pool(POOL_SIZE, demand=self.estimate.of(SERVICE))
        return max_concurrent_loads(pool, make_outdated(POOL_SIZE // 2))


def test_demand_of_all_that_are_heard_counts():
    fixture = Fixture()
    assert fixture.estimate.of(SERVICE) == TOTAL_DEMAND
    fixture.run(1_000, demand=0)
    assert fixture.estimate.of(SERVICE) == DEMAND_PER_ROUTER


# The clients of those that are not heard go on asking the upstreams that serve.
@pytest.mark.parametrize("heard", [0, 2, 4])
@pytest.mark.parametrize("duration", CUT_TIMES_MS)
def test_cut_off_router_lets_no_more_upstreams_load_at_once(heard, duration):
    fixture = Fixture()
    before = fixture.allowed_loads()
    fixture.heard = heard
    fixture.run(duration)
    assert fixture.estimate.of(SERVICE) == TOTAL_DEMAND
    assert fixture.allowed_loads() == before


# The clients of routers that ended come to the others, and count once.
def test_demand_that_moved_to_this_router_counts_once():
    fixture = Fixture()
    fixture.heard = 0
    fixture.own_demand = TOTAL_DEMAND
    fixture.run(5_000)
    assert fixture.estimate.of(SERVICE) == TOTAL_DEMAND


def test_more_demand_than_before_counts_during_a_cut():
    fixture = Fixture()
    fixture.heard = 0
    fixture.own_demand = 2 * TOTAL_DEMAND
    fixture.run(5_000)
    assert fixture.estimate.of(SERVICE) == 2 * TOTAL_DEMAND


def test_demand_of_routers_that_ended_does_not_count_for_ever():
    fixture = Fixture()
    fixture.heard = 0
    fixture.run(MEMORY_MS + 4_000)
    assert fixture.estimate.of(SERVICE) == DEMAND_PER_ROUTER


def test_demand_counts_as_reported_once_all_are_heard_again():
    fixture = Fixture()
    fixture.heard = 0
    fixture.run(5_000)
    fixture.heard = ROUTERS - 1
    fixture.run(1_000, demand=100)
    expected = DEMAND_PER_ROUTER + (ROUTERS - 1) * 100
    assert fixture.estimate.of(SERVICE) == expected
