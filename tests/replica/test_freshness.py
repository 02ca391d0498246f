from loguru import logger

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.replica.freshness import (
    CHECK_INTERVAL_MS,
    CONFIRMATION_TIMEOUT_MS,
    MAX_CHECK_GAP_MS,
    Freshness,
)


def check_repeatedly(clock, freshness, duration):
    for _ in range(duration // CHECK_INTERVAL_MS):
        clock.advance(CHECK_INTERVAL_MS)
        freshness.check()


def test_only_a_request_after_the_pause_confirms_the_state():
    clock = ManualClock()
    freshness = Freshness(clock, Counters())
    check_repeatedly(clock, freshness, 10_000)
    assert freshness.check()
    time_before_pause = clock.now()
    clock.advance(MAX_CHECK_GAP_MS + 1)
    assert not freshness.check()
    freshness.confirm(time_before_pause)
    assert not freshness.check()
    freshness.confirm(clock.now())
    assert freshness.check()


def test_state_is_fresh_again_after_the_confirmation_timeout():
    clock = ManualClock()
    counters = Counters()
    freshness = Freshness(clock, counters)
    clock.advance(MAX_CHECK_GAP_MS + 1)
    assert not freshness.check()
    check_repeatedly(clock, freshness, CONFIRMATION_TIMEOUT_MS + CHECK_INTERVAL_MS)
    assert freshness.check()
    assert counters.by_name["config.unconfirmed"] == 1


def test_length_of_a_pause_is_logged():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    clock = ManualClock()
    freshness = Freshness(clock, Counters())
    clock.advance(MAX_CHECK_GAP_MS + 1)
    freshness.check()
    logger.remove(sink)
    assert lines == [f"paused for {MAX_CHECK_GAP_MS + 1} ms; must be confirmed\n"]
