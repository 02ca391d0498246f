import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Target
from mulberryhub.fleet.state import FleetState
from mulberryhub.weights.plan import (
    DEFAULT_LATENCY_TARGET_MS,
    LOW_MEAN_WORK_MS,
    MAX_LOADING_SHARE,
    OutdatedUpstream,
    PoolBuilder,
    UpstreamPool,
    choose_next_loads,
    max_concurrent_loads,
)
from tests.forward.fakes import MODEL, make_configuration, make_route, make_upstream

VERSION_TIME_MS = 12_000
LATENCY_TARGET_MS = 250


def make_outdated(count, age=0):
    return [
        OutdatedUpstream(
            make_upstream(f"u{n}", n + 1, data_centre="abc"[n % 3]), MODEL, 2, age
        )
        for n in range(count)
    ]


def make_pool(
    size=9, loading=(), mean_work=0, demand=0, latency_target=LATENCY_TARGET_MS
):
    return UpstreamPool(
        size, list(loading), mean_work, demand, latency_target, VERSION_TIME_MS
    )


def choose_idle(items, pool):
    return choose_next_loads(items, pool, lambda id: 0)


def test_loads_of_an_idle_pool_are_spread_over_data_centres():
    chosen = choose_idle(make_outdated(9), make_pool())
    assert len(chosen) == 3
    assert {item.upstream.data_centre for item in chosen} == {"a", "b", "c"}


@pytest.mark.parametrize("size, expected", [(1, 1), (2, 1), (5, 2), (9, 3), (30, 12)])
def test_share_that_loads_by_pool_size(size, expected):
    assert max_concurrent_loads(make_pool(size), make_outdated(size)) == expected


def test_fewer_load_the_more_work_serving_upstreams_have():
    allowed = [
        max_concurrent_loads(make_pool(mean_work=mean_work), make_outdated(3))
        for mean_work in range(0, 400, 20)
    ]
    assert allowed == sorted(allowed, reverse=True)
    assert allowed[0] == 3 and allowed[-1] == 0


@pytest.mark.parametrize("latency_target", [250, 400, 1_000])
def test_loads_start_until_work_reaches_the_latency_target(latency_target):
    # Guards against rollouts that stand still while requests are served in time.
    allowed = [
        max_concurrent_loads(
            make_pool(
                30, mean_work=share * latency_target, latency_target=latency_target
            ),
            make_outdated(5),
        )
        for share in (0.5, 0.8, 1)
    ]
    assert allowed[0] >= 6
    assert allowed[1] >= 1
    assert allowed[2] == 0


@pytest.mark.parametrize("size", [5, 9])
def test_no_more_load_than_the_work_allows_in_a_small_pool(size):
    # Guards against a pool of which two fifths load while the others are busy.
    share = int(size * MAX_LOADING_SHARE)
    for mean_work in range(0, 400, 10):
        pool = make_pool(size, mean_work=mean_work, latency_target=400)
        allowed = max_concurrent_loads(pool, make_outdated(2))
        work_range = 400 - LOW_MEAN_WORK_MS
        work_left = min(work_range, 400 - mean_work)
        assert allowed <= share * work_left / work_range


def test_loads_start_near_the_time_limit_despite_high_work():
    overdue = make_outdated(9, age=VERSION_TIME_MS)
    assert max_concurrent_loads(make_pool(mean_work=1_000), overdue) == 3
    nearly_due = make_outdated(4, age=VERSION_TIME_MS - 5_000)
    assert max_concurrent_loads(make_pool(mean_work=1_000), nearly_due) >= 1


def test_upstreams_that_are_loading_count():
    items = make_outdated(9)
    loading = [item.upstream for item in items[:3]]
    assert choose_idle(items, make_pool(loading=loading)) == []
    chosen = choose_idle(items, make_pool(loading=loading[:2]))
    assert [item.upstream.data_centre for item in chosen] == ["c"]


def test_upstream_with_the_least_work_loads_first():
    items = make_outdated(2)
    pool = make_pool(size=2)
    chosen = choose_next_loads(items, pool, lambda id: {"u0": 50, "u1": 5}[id])
    assert chosen[0].upstream.id in ("u0", "u1")
    in_one_data_centre = [
        OutdatedUpstream(make_upstream(f"u{n}", n + 1, data_centre="a"), MODEL, 2, 0)
        for n in range(2)
    ]
    chosen = choose_next_loads(
        in_one_data_centre, pool, lambda id: {"u0": 50, "u1": 5}[id]
    )
    assert chosen[0].upstream.id == "u1"


@pytest.mark.parametrize(
    "demand, expected", [(0, 3), (3_800, 3), (4_500, 2), (9_000, 1)]
)
def test_enough_upstreams_serve_for_the_demand_with_empty_caches(demand, expected):
    assert max_concurrent_loads(make_pool(demand=demand), make_outdated(5)) == expected


def test_unreachable_upstreams_do_not_count():
    fleet_state = FleetState(ManualClock(now=1_000))
    for item in make_outdated(4):
        fleet_state.apply(item.upstream)
    loading = {"u0": fleet_state.upstreams_by_id["u0"]}
    pool_builder = PoolBuilder(
        fleet_state, lambda id: 60, lambda id: id == "u3", lambda service: 5
    )
    pool = pool_builder.pool("llm", loading, VERSION_TIME_MS)
    assert (pool.size, pool.mean_work, pool.demand) == (3, 60, 5)


def test_latency_target_is_the_shortest_of_the_routes_to_the_service():
    # Guards against a target of routes to other services.
    fleet_state = FleetState(ManualClock(now=1_000))
    pool_builder = PoolBuilder(
        fleet_state, lambda id: 0, lambda id: False, lambda service: 0
    )
    before = pool_builder.pool("llm", {}, VERSION_TIME_MS).latency_target
    routes = [
        make_route(name="a", target_latency=500),
        make_route(name="b", target_latency=400),
        make_route(name="c", target_latency=100, targets=[Target("desk", 1)]),
    ]
    fleet_state.apply(make_configuration(routes=routes))
    after = pool_builder.pool("llm", {}, VERSION_TIME_MS).latency_target
    assert (before, after) == (DEFAULT_LATENCY_TARGET_MS, 400)
