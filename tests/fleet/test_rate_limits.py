"""Merging of rate limits that routers observe in answers of upstreams."""

from itertools import permutations as permutations_of

import msgspec
import pytest
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


class EarlierRateLimit(msgspec.Struct, frozen=True, tag="RateLimit"):
    id: str
    started: int
    number: int
    rate: float | None


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


@pytest.mark.parametrize(
    "later_started", [1, 900], ids=["behind at the restart", "ahead at the restart"]
)
def test_limit_of_an_upstream_that_restarted_with_a_wrong_clock_is_known(
    later_started,
):
    limits = [
        RateLimit("u1", 500, 0, 40.0, 1),
        RateLimit("u1", 500, 1, 8.0, 2),
        RateLimit("u1", later_started, 0, 4.0, 3),
    ]
    for order in permutations_of(limits):
        rate_limits = RateLimits(ManualClock())
        for limit in order:
            rate_limits.apply(limit)
        restarted = make_upstream("u1", 3, started=later_started)
        assert rate_limits.rate(restarted) == 4.0


def test_limits_are_read_by_earlier_builds_and_from_them():
    data = msgspec.msgpack.encode(RateLimit("u1", 5, 1, 4.0, 7))
    earlier = msgspec.msgpack.decode(data, type=EarlierRateLimit)
    assert earlier == EarlierRateLimit("u1", 5, 1, 4.0)
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=RateLimit)
    assert read == RateLimit("u1", 5, 1, 4.0)


def test_limit_that_no_answer_confirms_is_forgotten():
    clock = ManualClock()
    rate_limits = RateLimits(clock)
    rate_limits.apply(RateLimit("u1", 1, 0, 4))
    clock.advance(LIMIT_RETENTION_MS)
    assert rate_limits.rate(make_upstream("u1", started=1)) == 4
    clock.advance(1)
    assert rate_limits.rate(make_upstream("u1", started=1)) is None
