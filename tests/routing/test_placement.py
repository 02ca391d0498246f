from collections import Counter
from statistics import pstdev

import pytest

from mulberryhub.config.inventory import Upstream
from mulberryhub.routing.placement import Placement


def engines(count):
    return [Upstream(f"engine-{i}", "engine", "a", "") for i in range(count)]


def digests(count):
    return [i.to_bytes(16) for i in range(count)]


@pytest.mark.parametrize("count", [1, 10, 64, 65, 1_000])
def test_order_has_different_engines(count):
    for digest in digests(20):
        order = Placement(engines(count)).order(digest, 8)
        assert len({engine.id for engine in order}) == len(order) == min(8, count)


@pytest.mark.parametrize("count", [10, 300])
def test_digests_spread_evenly(count):
    placement = Placement(engines(count))
    firsts = Counter(placement.order(d, 1)[0].id for d in digests(100 * count))
    assert len(firsts) == count
    assert pstdev(firsts.values()) < 13


@pytest.mark.parametrize("count", [10, 300])
def test_digests_move_only_from_the_engine_that_left(count):
    before = Placement(engines(count))
    after = Placement(engines(count)[:-1])
    moved = lost = 0
    for digest in digests(2_000):
        first = before.order(digest, 1)[0].id
        lost += first == f"engine-{count - 1}"
        moved += first != after.order(digest, 1)[0].id
    assert lost <= moved <= lost + 20


def test_order_does_not_depend_on_the_list_order():
    for digest in digests(50):
        one = Placement(engines(200)).order(digest, 4)
        other = Placement(engines(200)[::-1]).order(digest, 4)
        assert [e.id for e in one] == [e.id for e in other]
