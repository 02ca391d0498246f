from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.replica.freshness import (
    CONFIRMATION_LIMIT,
    PAUSE_LIMIT,
    TICK,
    Freshness,
)


def tick(clock, freshness, duration):
    for _ in range(duration // TICK):
        clock.advance(TICK)
        freshness.check()


def test_pause_needs_a_confirmation_asked_for_after_it():
    clock = ManualClock()
    freshness = Freshness(clock, Counters())
    tick(clock, freshness, 10_000)
    assert freshness.check()
    asked = clock.now()
    clock.advance(PAUSE_LIMIT + 1)
    assert not freshness.check()
    freshness.confirm(asked)
    assert not freshness.check()
    freshness.confirm(clock.now())
    assert freshness.check()


def test_without_an_answer_the_router_serves_on():
    clock = ManualClock()
    counters = Counters()
    freshness = Freshness(clock, counters)
    clock.advance(PAUSE_LIMIT + 1)
    assert not freshness.check()
    tick(clock, freshness, CONFIRMATION_LIMIT + TICK)
    assert freshness.check()
    assert counters.by_name["config.unconfirmed"] == 1
