import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.weights.plan import (
    Outdated,
    Pool,
    PoolView,
    choose_next,
    loads_at_once,
)
from tests.forward.fakes import MODEL, make_upstream

VERSION_TIME = 12_000  # ms


def make_outdated(count, age=0):
    return [
        Outdated(make_upstream(f"u{n}", n + 1, data_centre="abc"[n % 3]), MODEL, 2, age)
        for n in range(count)
    ]


def make_pool(size=9, loading=(), busy=0, demand=0):
    return Pool(size, list(loading), busy, demand, VERSION_TIME)


def choose(items, pool):
    return choose_next(items, pool, lambda id: 0)


def test_a_calm_pool_loads_a_share_spread_over_data_centres():
    chosen = choose(make_outdated(9), make_pool())
    assert len(chosen) == 3
    assert {item.upstream.data_centre for item in chosen} == {"a", "b", "c"}


@pytest.mark.parametrize("size, most", [(1, 1), (2, 1), (5, 2), (9, 3), (30, 12)])
def test_the_share_of_pools_of_any_size(size, most):
    assert loads_at_once(make_pool(size), make_outdated(size)) == most


def test_the_busier_the_rest_the_fewer_load():
    allowed = [
        loads_at_once(make_pool(busy=busy), make_outdated(3))
        for busy in range(0, 400, 20)
    ]
    assert allowed == sorted(allowed, reverse=True)
    assert allowed[0] == 3 and allowed[-1] == 0


def test_what_must_be_done_in_time_is_done_whatever_the_load():
    late = make_outdated(9, age=VERSION_TIME)
    assert loads_at_once(make_pool(busy=1_000), late) == 3
    soon = make_outdated(4, age=VERSION_TIME - 5_000)
    assert loads_at_once(make_pool(busy=1_000), soon) >= 1


def test_those_that_load_count():
    items = make_outdated(9)
    loading = [item.upstream for item in items[:3]]
    assert choose(items, make_pool(loading=loading)) == []
    chosen = choose(items, make_pool(loading=loading[:2]))
    assert [item.upstream.data_centre for item in chosen] == ["c"]


def test_the_least_busy_load_first():
    items = make_outdated(2)
    pool = make_pool(size=2)
    chosen = choose_next(items, pool, lambda id: {"u0": 50, "u1": 5}[id])
    assert chosen[0].upstream.id in ("u0", "u1")
    same = [
        Outdated(make_upstream(f"u{n}", n + 1, data_centre="a"), MODEL, 2, 0)
        for n in range(2)
    ]
    chosen = choose_next(same, pool, lambda id: {"u0": 50, "u1": 5}[id])
    assert chosen[0].upstream.id == "u1"


@pytest.mark.parametrize("demand, most", [(0, 3), (3_800, 3), (4_500, 2), (9_000, 1)])
def test_as_many_serve_as_clients_need_with_empty_caches(demand, most):
    assert loads_at_once(make_pool(demand=demand), make_outdated(5)) == most


def test_upstreams_that_cannot_be_reached_do_not_count():
    beliefs = Beliefs(ManualClock(now=1_000))
    for item in make_outdated(4):
        beliefs.learn(item.upstream)
    loading = {"u0": beliefs.upstreams_by_id["u0"]}
    view = PoolView(beliefs, lambda id: 60, lambda id: id == "u3", lambda service: 5)
    pool = view.pool("llm", loading, VERSION_TIME)
    assert (pool.size, pool.busy, pool.demand) == (3, 60, 5)
