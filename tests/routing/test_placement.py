from collections import Counter
from statistics import pstdev

import pytest

from mulberryhub.config.inventory import Upstream
from mulberryhub.routing.placement import Placement


def make_engines(count):
    return [Upstream(f"engine-{i}", "engine", "a", "") for i in range(count)]


def make_digests(count):
    return [i.to_bytes(16) for i in range(count)]


@pytest.mark.parametrize("count", [1, 10, 64, 65, 1_000])
def test_order_has_no_duplicate_engines(count):
    for digest in make_digests(20):
        order = Placement(make_engines(count)).rank(digest, 8)
        assert len({engine.id for engine in order}) == len(order) == min(8, count)


@pytest.mark.parametrize("count", [10, 300])
def test_digests_are_spread_evenly(count):
    placement = Placement(make_engines(count))
    firsts = Counter(placement.rank(d, 1)[0].id for d in make_digests(100 * count))
    assert len(firsts) == count
    assert pstdev(firsts.values()) < 13


@pytest.mark.parametrize("count", [10, 300])
def test_removal_of_an_engine_moves_hardly_any_other_digests(count):
    before = Placement(make_engines(count))
    after = Placement(make_engines(count)[:-1])
    moved = lost = 0
    for digest in make_digests(2_000):
        first = before.rank(digest, 1)[0].id
        lost += first == f"engine-{count - 1}"
        moved += first != after.rank(digest, 1)[0].id
    assert lost <= moved <= lost + 20


def test_order_is_independent_of_the_list_order():
    for digest in make_digests(50):
        forward = Placement(make_engines(200)).rank(digest, 4)
        backward = Placement(make_engines(200)[::-1]).rank(digest, 4)
        assert [e.id for e in forward] == [e.id for e in backward]
