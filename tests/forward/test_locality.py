from math import pi, sin
from random import Random, seed

import pytest

from tests.forward.fakes import make_service
from tests.forward.locality_simulation import Simulation, late_share

SEEDS = (1, 2, 3)
OFF_PEAK = 0.4  # load of the data centres that are not busy


def simulate(random_seed, load, duration, **options):
    seed(random_seed)
    return Simulation(Random(random_seed), load, **options).run(duration)


def busy_home(load):
    return lambda name, now: load if name == "a" and now >= 1_000 else OFF_PEAK


def load_in_waves(name, now):
    return 0.75 * (1 + 0.55 * sin(2 * pi * (now / 13_000 + "abc".index(name) / 3)))


def share_out(simulation, source, since=0, until=10**9):
    return 1 - simulation.shares(source, since, until)[source]


@pytest.mark.parametrize("random_seed", SEEDS)
def test_even_load_stays_at_home(random_seed):
    """Guards against traffic between data centres that are equally busy."""
    simulation = simulate(random_seed, lambda name, now: 0.8, 10_000)
    for source in "abc":
        assert share_out(simulation, source) < 0.02
        assert late_share(simulation.sent(source)) < 0.02


@pytest.mark.parametrize("models", [["m"], []], ids=["model", "no_model"])
def test_requests_without_shared_parts_are_spread(models):
    """Guards against routers that choose the same upstream until reports arrive."""
    simulation = simulate(1, lambda name, now: 0.8, 0)
    simulation.has_shared_parts = False
    simulation.service = make_service(models=models)
    simulation.run(10_000)
    assert late_share(simulation.placed) < 0.02
    assert share_out(simulation, "a") < 0.02


@pytest.mark.parametrize("random_seed", SEEDS)
def test_only_the_excess_leaves_and_comes_back(random_seed):
    """Guards against shares that overshoot, oscillate or outlast the excess."""
    simulation = simulate(random_seed, busy_home(2.0), 10_000)
    assert 0.45 < share_out(simulation, "a", 4_000) < 0.6
    for since in range(4_000, 10_000, 1_000):
        assert 0.3 < share_out(simulation, "a", since, since + 1_000) < 0.75
    assert late_share(simulation.sent("a", 4_000)) < 0.1
    simulation.load = lambda name, now: OFF_PEAK
    simulation.run(6_000)
    assert share_out(simulation, "a", 14_000) < 0.02


@pytest.mark.parametrize("random_seed", SEEDS)
def test_routers_that_decide_at_once_do_not_herd(random_seed):
    """Guards against 80 routers that all move to the same data centre at once."""
    simulation = simulate(random_seed, busy_home(2.0), 8_000)
    for since in range(1_000, 8_000, 500):
        shares = simulation.shares("a", since, since + 500)
        assert max(shares["b"], shares["c"]) < 0.6
    for destination in "bc":
        assert late_share(simulation.sent(destination, 4_000)) < 0.1


@pytest.mark.parametrize("speeds", [(1,), (0.6, 1, 1.6)], ids=["equal", "unequal"])
@pytest.mark.parametrize("random_seed", SEEDS)
def test_demand_in_waves_is_served_in_time(random_seed, speeds):
    """Guards against shares that follow waves of demand too late."""
    waves = simulate(random_seed, load_in_waves, 26_000, speeds=speeds)
    late = late_share([item for source in "abc" for item in waves.sent(source)])
    # Expected delays know nothing of speeds here, so slow upstreams are late often.
    assert late < (0.04 if len(speeds) == 1 else 0.12)
    assert 0.01 < share_out(waves, "a") < 0.2


def test_all_leave_if_no_upstream_at_home_can_be_reached():
    """Guards against requests that wait for lost upstreams."""
    simulation = simulate(1, lambda name, now: OFF_PEAK, 1_000)
    for router in simulation.routers_by_data_centre["a"]:
        for id, upstream in simulation.fleet_state.upstreams_by_id.items():
            if upstream.data_centre == "a":
                router.connect_health.record_failure(id)
    simulation.run(900)
    assert share_out(simulation, "a", 1_000) == 1


@pytest.mark.parametrize("random_seed", SEEDS)
def test_routers_without_reports_stay_at_home(random_seed):
    """Guards against requests sent on stale data, and too many by other routers."""
    simulation = simulate(random_seed, busy_home(1.3), 8_000, deaf_share=1 / 3)
    assert 0.15 < share_out(simulation, "a", 4_000) < 0.35
    for router in simulation.routers_by_data_centre["a"]:
        if router.is_deaf:
            assert router.locality.share("llm", "b") == 0


def test_places_are_as_before_without_a_store_at_home():
    """Guards against other placement where the configuration has no store."""
    simulation = simulate(1, lambda name, now: 0.2, 0)
    simulation.has_store = False
    simulation.run(6_000)
    ids_by_part = {}
    for item in simulation.placed:
        ids_by_part.setdefault(item.part, []).append(item.upstream_id)
    usual = sum(max(map(ids.count, ids)) for ids in ids_by_part.values())
    assert usual > 0.9 * len(simulation.placed)


def test_parts_that_the_store_lacks_are_shared_between_data_centres():
    """Guards against a copy of each part in each data centre without room for it."""
    simulation = simulate(1, lambda name, now: 0.2, 0)
    simulation.held = set(simulation.parts[::2])
    simulation.run(6_000)
    for is_held in (True, False):
        placed = [
            item
            for item in simulation.placed
            if (item.part in simulation.held) == is_held
        ]
        left = sum(item.source != item.destination for item in placed)
        assert (left == 0) if is_held else (0.5 < left / len(placed) < 0.8)
