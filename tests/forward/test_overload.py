"""Overload of upstreams with slots, as the clients of all routers see it."""

from random import seed

import pytest

from tests.forward.overload_model import (
    OverloadedFleet,
)

PHASE_MS = 4_000
LOADS = (0.5, 1, 2, 4, 2, 1, 0.5)  # times the capacity
RECOVERY_S = 2  # after which answers are in time again


def run_phases(fleet, has_outage):
    for load in LOADS:
        if has_outage and load == 2:
            fleet.run(load, 1_000)
            fleet.run_without(fleet.engines[::3], load, 1_000)
            fleet.run(load, PHASE_MS - 2_000)
        else:
            fleet.run(load, PHASE_MS)


@pytest.mark.parametrize("random_seed", [1, 2, 3])
@pytest.mark.parametrize("has_outage", [False, True])
def test_goodput_does_not_collapse_under_overload(random_seed, has_outage):
    """Guards against congestion collapse: full upstreams, where all answers are late.

    A third of the routers receive nothing from the others. With an outage, a third of
    the upstreams are gone for a second while the load is twice the capacity.
    """
    seed(random_seed)
    fleet = OverloadedFleet()
    run_phases(fleet, has_outage)
    goodput = [fleet.goodput(4 * n, 4 * n + 4) for n in range(len(LOADS))]
    assert min(goodput[2:5]) >= 0.9 * goodput[1]
    recovered = fleet.goodput(24 + RECOVERY_S, 28)
    assert recovered >= 0.9 * fleet.offered_rate(24 + RECOVERY_S, 28)
