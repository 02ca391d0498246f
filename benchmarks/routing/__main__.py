"""Simulates routing policies under a workload profile; prints JSON and a table.

Run `python -m benchmarks.routing`. Each policy runs once per seed.
"""

import sys

import defopt
import msgspec

from benchmarks.routing.metrics import compute_metrics, compute_spreads
from benchmarks.routing.oracle import make_oracle_policy
from benchmarks.routing.profiles import (
    PROFILES_BY_NAME,
    make_calls,
    with_hot_prefix,
    with_shift,
)
from benchmarks.routing.simulation import FAULT_START_MS, FAULTS_BY_NAME, Simulation
from mulberryhub.routing.cost import CostFeatures, make_cost_policy
from mulberryhub.routing.policies import make_policy, policy_names

WARM_UP_MS = 10_000
DURATION_MS = 60_000
FAULT_WINDOW_MS = 30_000
PRINTED_METRICS = (
    "hit_rate",
    "wasted_share",
    "p50",
    "p95",
    "p99",
    "worst_p95",
    "busy_share",
)


def make_simulation(profile, policy, seed):
    """Return a Simulation whose routers run the policy named `policy`.

    A name such as `cost-away_cost` is the cost policy without the named features.
    """

    def make_router_policy(simulation, router_index):
        if policy == "greedy_bound":
            return make_oracle_policy(simulation, profile, profile.engines)
        if policy == "bound":
            return make_oracle_policy(simulation, profile)

        def rules():
            return profile.rules

        def workspace_weight(workspace):
            return profile.shares[int(workspace)]

        name, *disabled_features = policy.split("-")
        if disabled_features:
            features = CostFeatures(**dict.fromkeys(disabled_features, False))
            return make_cost_policy(simulation.clock, rules, workspace_weight, features)
        return make_policy(
            name, simulation.clock, seed * 100 + router_index, rules, workspace_weight
        )

    return Simulation(profile, make_router_policy, seed)


def run_simulation(profile, policy, seed, load=1.0, fault=None):
    """Return the results of one run and its Simulation."""
    calls = make_calls(profile, seed, DURATION_MS, load)
    if fault == "shift":
        calls = with_shift(calls, profile, FAULT_START_MS)
    if fault == "hot":
        calls = with_hot_prefix(calls, profile, FAULT_START_MS, seed)
    simulation = make_simulation(profile, policy, seed)
    return simulation.run(calls, FAULTS_BY_NAME.get(fault)), simulation


def run_once(profile, policy, seed, load=1.0, fault=None):
    """Return the RunMetrics of one run; with a fault, of the time after it."""
    results, simulation = run_simulation(profile, policy, seed, load, fault)
    start = FAULT_START_MS if fault else WARM_UP_MS
    end = FAULT_START_MS + FAULT_WINDOW_MS if fault else DURATION_MS
    return compute_metrics(results, simulation, (start, end))


def run(
    *,
    profile: str = "prasertkit",
    seed: int = 1,
    seeds: int = 1,
    policy: list[str] = [],  # noqa: B006
    faults: str = "",
    load: float = 1.0,
):
    """Measure policies in a simulation of engines and routers.

    :param profile: prasertkit or kowhai
    :param seed: the first seed
    :param seeds: number of consecutive seeds
    :param policy: policies to measure; by default all of them and the upper bound
    :param faults: crash, shift, hot, restart or cut; figures cover the 30 s after it
    :param load: factor applied to the request rate of the profile
    """
    selected_policies = policy or [*policy_names(), "bound"]
    spreads_by_policy = {
        name: compute_spreads(
            [
                run_once(PROFILES_BY_NAME[profile], name, seed + i, load, faults)
                for i in range(seeds)
            ]
        )
        for name in selected_policies
    }
    print(msgspec.json.encode(spreads_by_policy).decode())
    print_table(spreads_by_policy, sys.stderr)


def print_table(spreads_by_policy, file):
    """Print the mean, minimum and maximum of each metric by policy."""
    print(
        f"{'policy':22}" + "".join(f"{name:>24}" for name in PRINTED_METRICS), file=file
    )
    for policy, spreads in spreads_by_policy.items():
        columns = "".join(
            f"{_format_spread(spreads[name]):>24}" for name in PRINTED_METRICS
        )
        print(f"{policy:22}{columns}", file=file)


def _format_spread(spread):
    spec = ".3f" if spread.greatest < 2 else ".0f"
    return f"{spread.mean:{spec}} ({spread.least:{spec}}..{spread.greatest:{spec}})"


if __name__ == "__main__":
    defopt.run(run)
