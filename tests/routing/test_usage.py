import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.routing.usage import LEAST_PRIORITY, USAGE_LIFETIME, Usage

WEIGHTS = {"large": 4, "small": 1}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def usage(clock):
    return Usage(clock, lambda workspace: WEIGHTS.get(workspace, 1))


def test_use_by_weight_costs_no_priority(usage):
    for _ in range(20):
        usage.add("large", 4_000)
        usage.add("small", 1_000)
    assert usage.priority("large", 1_000) == usage.priority("small", 1_000) == 0


def test_workspace_beyond_its_share_goes_after_the_others(usage):
    for _ in range(20):
        usage.add("large", 4_000)
        usage.add("small", 10_000)
    assert usage.priority("small", 1_000) < 0
    assert usage.priority("large", 1_000) == usage.priority("new", 1_000) == 0


def test_priority_has_a_least_value(usage):
    usage.add("small", 10**12)
    for number in range(1_000):
        usage.add(f"other-{number}", 10)
    assert usage.priority("small", 1_000) == LEAST_PRIORITY


def test_use_is_forgotten_with_time(clock, usage):
    usage.add("small", 50_000)
    usage.add("large", 4_000)
    assert usage.priority("small", 1_000) < 0
    clock.advance(20 * USAGE_LIFETIME)
    usage.add("large", 4_000)
    usage.add("small", 1_000)
    assert usage.priority("small", 1_000) == 0


def test_workspace_without_weight_is_served(clock):
    usage = Usage(clock, lambda workspace: 0)
    usage.add("a", 1_000)
    assert usage.priority("a", 1_000) == 0


def test_a_few_requests_are_not_held_against_a_workspace(usage):
    for _ in range(20):
        usage.add("large", 4_000)
    for _ in range(3):
        usage.add("small", 20_000)
    assert usage.priority("small", 20_000) == 0
    assert usage.priority("small", 1_000) < 0
