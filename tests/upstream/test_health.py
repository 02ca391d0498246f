import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.upstream.health import UpstreamHealth


def test_failing_upstreams_are_last_until_avoidance_ends():
    clock = ManualClock()
    health = UpstreamHealth(clock, Counters())
    health.record_failure("a")
    assert health.avoided_last(["a", "b", "c"]) == ["b", "c", "a"]
    clock.advance(1_000)
    assert health.avoided_last(["a", "b", "c"]) == ["a", "b", "c"]


def test_avoidance_time_doubles_up_to_its_bound():
    clock = ManualClock()
    health = UpstreamHealth(clock, Counters())
    for _ in range(20):
        health.record_failure("a")
    clock.advance(9_999)
    assert health.is_avoided("a")
    clock.advance(1)
    assert not health.is_avoided("a")


def test_response_ends_avoidance():
    health = UpstreamHealth(ManualClock(), Counters())
    health.record_failure("a")
    health.record_success("a")
    assert not health.is_avoided("a")
    assert not health.failing_by_id


def test_only_a_complete_response_ends_the_avoidance_of_garbage():
    health = UpstreamHealth(ManualClock(), Counters())
    health.record_failure("a", needs_complete_response=True)
    health.record_success("a")
    assert health.is_avoided("a")
    health.record_success("a", is_complete=True)
    assert not health.failing_by_id


def test_garbage_is_forgotten_some_time_after_the_avoidance():
    clock = ManualClock()
    health = UpstreamHealth(clock, Counters())
    for _ in range(5):
        health.record_failure("a", needs_complete_response=True)
    clock.advance(20_000)
    health.record_failure("a")
    clock.advance(1_000)
    assert not health.is_avoided("a")
    health.record_success("a")
    assert not health.failing_by_id


# The clock goes on while the router stands still: what it knows is too old to act on.
@pytest.mark.parametrize(
    "pause, is_avoided", [(1_000, True), (5_000, True), (60_000, False)]
)
def test_avoidance_goes_on_during_a_pause_and_ends_in_its_time(pause, is_avoided):
    clock = ManualClock()
    health = UpstreamHealth(clock, Counters())
    for _ in range(20):
        health.record_failure("a")
    clock.advance(pause)
    assert health.is_avoided("a") == is_avoided


def test_first_failure_after_a_long_pause_counts_as_the_first():
    clock = ManualClock()
    health = UpstreamHealth(clock, Counters())
    for _ in range(20):
        health.record_failure("a")
    clock.advance(60_000)
    health.record_failure("a")
    clock.advance(1_000)
    assert not health.is_avoided("a")
