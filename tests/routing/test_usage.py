import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.routing.usage import MIN_PRIORITY, USAGE_DECAY_MS, WorkspaceUsage

WEIGHTS = {"large": 4, "small": 1}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def usage(clock):
    return WorkspaceUsage(clock, lambda workspace: WEIGHTS.get(workspace, 1))


def test_usage_in_proportion_to_weight_keeps_priority(usage):
    for _ in range(20):
        usage.add("large", 4_000)
        usage.add("small", 1_000)
    assert usage.priority("large", 1_000) == usage.priority("small", 1_000) == 0


def test_workspace_that_exceeds_its_share_gets_a_lower_priority(usage):
    for _ in range(20):
        usage.add("large", 4_000)
        usage.add("small", 10_000)
    assert usage.priority("small", 1_000) < 0
    assert usage.priority("large", 1_000) == usage.priority("new", 1_000) == 0


def test_priority_has_a_lower_bound(usage):
    usage.add("small", 10**12)
    for number in range(1_000):
        usage.add(f"other-{number}", 10)
    assert usage.priority("small", 1_000) == MIN_PRIORITY


def test_usage_decays_with_time(clock, usage):
    usage.add("small", 50_000)
    usage.add("large", 4_000)
    assert usage.priority("small", 1_000) < 0
    clock.advance(20 * USAGE_DECAY_MS)
    usage.add("large", 4_000)
    usage.add("small", 1_000)
    assert usage.priority("small", 1_000) == 0


def test_zero_weight_is_accepted(clock):
    usage = WorkspaceUsage(clock, lambda workspace: 0)
    usage.add("a", 1_000)
    assert usage.priority("a", 1_000) == 0


def test_few_requests_do_not_lower_priority(usage):
    for _ in range(20):
        usage.add("large", 4_000)
    for _ in range(3):
        usage.add("small", 20_000)
    assert usage.priority("small", 20_000) == 0
    assert usage.priority("small", 1_000) < 0
