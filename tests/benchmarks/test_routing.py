import pytest

from benchmarks.routing.__main__ import run_once
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls
from benchmarks.routing.simulation import FAULTS_BY_NAME

PROFILE = PROFILES_BY_NAME["prasertkit"]


def test_same_seed_gives_same_metrics():
    first, second = (run_once(PROFILE, "cost", 1, load=0.3) for _ in range(2))
    assert first == second
    assert first.requests > 500


def test_cost_policy_outperforms_baseline_policies():
    cost = run_once(PROFILE, "cost", 1, load=0.5)
    for name in ("random", "round_robin", "least_reported", "two_choices"):
        baseline = run_once(PROFILE, name, 1, load=0.5)
        assert cost.hit_rate > baseline.hit_rate + 0.1
        assert cost.p95 < baseline.p95


@pytest.mark.parametrize("fault", [*FAULTS_BY_NAME, "shift", "hot"])
def test_run_completes_under_faults(fault):
    assert run_once(PROFILE, "cost", 1, load=0.3, fault=fault).requests > 100


def test_noisy_workspace_sends_five_times_its_rate():
    usual_calls, noisy_calls = (
        [
            call
            for call in make_calls(PROFILE, 1, 60_000, noisy=noisy)
            if call.workspace == 1
        ]
        for noisy in (None, 1)
    )
    assert 4 < len(noisy_calls) / len(usual_calls) < 6
