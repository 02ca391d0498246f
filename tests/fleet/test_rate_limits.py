"""Merging of rate limits that routers observe in answers of upstreams."""

from hypothesis import given
from hypothesis.strategies import (
    builds,
    integers,
    lists,
    none,
    permutations,
    sampled_from,
)

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.rate_limits import LIMIT_RETENTION_MS, RateLimits
from mulberryhub.fleet.records import RateLimit
from tests.forward.fakes import make_upstream

LIMITS = lists(
    builds(
        RateLimit,
        id=sampled_from(("u1", "u2")),
        started=integers(1, 2),
        number=integers(0, 3),
        rate=none() | sampled_from((0.0, 1.5, 40.0)),
    ),
    max_size=6,
)


def merge(limits):
    rate_limits = RateLimits(ManualClock())
    for limit in limits:
        rate_limits.apply(limit)
    return [
        rate_limits.rate(make_upstream(id, started=started))
        for id in ("u1", "u2")
        for started in (1, 2)
    ]


@given(LIMITS.flatmap(lambda limits: permutations(limits + limits[:2])))
def test_result_does_not_depend_on_order_or_repeats(limits):
    assert merge(limits) == merge(sorted(limits, key=repr))


def test_lower_rate_wins_among_limits_with_the_same_number():
    assert merge([RateLimit("u1", 1, 0, 4), RateLimit("u1", 1, 0, 2)])[0] == 2
    assert merge([RateLimit("u1", 1, 0, 4), RateLimit("u1", 1, 0, None)])[0] == 4


def test_limit_does_not_apply_to_a_later_incarnation():
    assert merge([RateLimit("u1", 1, 0, 4)]) == [4, None, None, None]


def test_limit_that_no_answer_confirms_is_forgotten():
    clock = ManualClock()
    rate_limits = RateLimits(clock)
    rate_limits.apply(RateLimit("u1", 1, 0, 4))
    clock.advance(LIMIT_RETENTION_MS)
    assert rate_limits.rate(make_upstream("u1", started=1)) == 4
    clock.advance(1)
    assert rate_limits.rate(make_upstream("u1", started=1)) is None
