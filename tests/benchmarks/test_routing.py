import pytest

from benchmarks.routing.__main__ import run_once
from benchmarks.routing.model import FAULTS_BY_NAME
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls

PROFILE = PROFILES_BY_NAME["prasertkit"]


def test_same_seed_gives_the_same_figures():
    one, other = (run_once(PROFILE, "cost", 1, load=0.3) for _ in range(2))
    assert one == other
    assert one.requests > 500


def test_cost_policy_recomputes_less_than_baselines():
    cost = run_once(PROFILE, "cost", 1, load=0.5)
    for name in ("random", "round_robin", "least_reported", "two_choices"):
        baseline = run_once(PROFILE, name, 1, load=0.5)
        assert cost.hit_rate > baseline.hit_rate + 0.1
        assert cost.p95 < baseline.p95


@pytest.mark.parametrize("fault", [*FAULTS_BY_NAME, "shift", "hot"])
def test_every_call_is_answered_under_faults(fault):
    assert run_once(PROFILE, "cost", 1, load=0.3, fault=fault).requests > 100


def test_noisy_workspace_sends_five_times_its_rate():
    usual, noisy = (
        [
            call
            for call in make_calls(PROFILE, 1, 60_000, noisy=n)
            if call.workspace == 1
        ]
        for n in (None, 1)
    )
    assert 4 < len(noisy) / len(usual) < 6
