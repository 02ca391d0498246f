"""Overload of upstreams with slots, as the clients of all routers see it.

A third of the routers receive nothing from the others.
"""

from random import seed

import pytest

from tests.forward.overload_model import OverloadedFleet

PHASE_S = 4
LOADS = (0.5, 1, 2, 4, 2, 1, 0.5)  # times the capacity
SEEDS = range(1, 7)
RECOVERY_S = 2  # after the fall in demand
MIN_URGENT_SHARE = 0.75  # in time at twice the capacity, as a mean with the rise


def run_phases(random_seed, has_outage=False, **rates):
    seed(random_seed)
    fleet = OverloadedFleet(**rates)
    for load in LOADS:
        if has_outage and load == 2:
            fleet.run(load, 1_000)
            fleet.run_without(fleet.engines[::3], load, 1_000)
            fleet.run(load, (PHASE_S - 2) * 1_000)
        else:
            fleet.run(load, PHASE_S * 1_000)
    return fleet


def in_time_share(fleets, begin, end, names=("long", "short")):
    in_time = sum(fleet.rate(fleet.in_time, begin, end, names) for fleet in fleets)
    return in_time / sum(fleet.offered_rate(begin, end, names) for fleet in fleets)


@pytest.mark.parametrize("has_outage", [False, True])
def test_goodput_does_not_collapse_under_overload(has_outage):
    """Guards against congestion collapse: full upstreams, where all answers are late.

    With an outage, a third of the upstreams are gone for a second while the load is
    twice the capacity.
    """
    capacity = 1 - 1 / 3 / PHASE_S if has_outage else 1  # left in a phase
    fleets = [run_phases(random_seed, has_outage) for random_seed in SEEDS]
    for fleet in fleets:
        goodput = [fleet.goodput(begin, begin + PHASE_S) for begin in (4, 8, 12, 16)]
        assert min(goodput[1:]) >= 0.9 * capacity * goodput[0]
    at_capacity = in_time_share(fleets, 4, 8)
    assert in_time_share(fleets, 20 + RECOVERY_S, 24) >= 0.9 * at_capacity
    assert in_time_share(fleets, 24 + RECOVERY_S, 28) >= 0.9
    for begin in (8, 16):
        urgent = in_time_share(fleets, begin, begin + PHASE_S, ("short",))
        assert urgent >= MIN_URGENT_SHARE


def test_urgent_requests_alone_do_not_make_each_other_late():
    """Guards against a limit that never applies to the most urgent requests."""
    for random_seed in SEEDS:
        fleet = run_phases(random_seed, long_rate=0.001, short_rate=40)
        goodput = [fleet.goodput(begin, begin + PHASE_S) for begin in (4, 8, 12, 16)]
        assert min(goodput[1:]) >= 0.5 * goodput[0]
        assert in_time_share([fleet], 24 + RECOVERY_S, 28) >= 0.9
