"""Runs policies on a profile over several seeds and prints JSON and a table."""

import sys

import defopt
import msgspec

from benchmarks.routing.bound import make_bound
from benchmarks.routing.measures import figures_of, spreads_of
from benchmarks.routing.model import FAULT_AT, FAULTS_BY_NAME, Model
from benchmarks.routing.profiles import (
    PROFILES_BY_NAME,
    make_calls,
    with_hot_prefix,
    with_shift,
)
from mulberryhub.routing.cost import CostFeatures, make_cost_policy
from mulberryhub.routing.policies import make_policy, policy_names

WARM_UP = 10_000  # ms
DURATION = 60_000  # ms
FAULT_WINDOW = 30_000  # ms
COLUMNS = ("hit_rate", "wasted_share", "p50", "p95", "p99", "worst_p95", "busy_share")


def make_model(profile, policy, seed):
    """Return a model whose routers run the policy named `policy`."""

    def make(model, number):
        if policy == "greedy_bound":
            return make_bound(model, profile, profile.engines)
        if policy == "bound":
            return make_bound(model, profile)

        def rules():
            return profile.rules

        def weight_of(workspace):
            return profile.shares[int(workspace)]

        name, *without = policy.split("-")
        if without:
            features = CostFeatures(**dict.fromkeys(without, False))
            return make_cost_policy(model.clock, rules, weight_of, features)
        return make_policy(name, model.clock, seed * 100 + number, rules, weight_of)

    return Model(profile, make, seed)


def run_results(profile, policy, seed, load=1.0, fault=None):
    """Return the results of one run, and its model."""
    calls = make_calls(profile, seed, DURATION, load)
    if fault == "shift":
        calls = with_shift(calls, profile, FAULT_AT)
    if fault == "hot":
        calls = with_hot_prefix(calls, profile, FAULT_AT, seed)
    model = make_model(profile, policy, seed)
    return model.run(calls, FAULTS_BY_NAME.get(fault)), model


def run_once(profile, policy, seed, load=1.0, fault=None):
    """Return the Figures of one run."""
    results, model = run_results(profile, policy, seed, load, fault)
    start = FAULT_AT if fault else WARM_UP
    end = FAULT_AT + FAULT_WINDOW if fault else DURATION
    return figures_of(results, model, (start, end))


def run(
    *,
    profile: str = "prasertkit",
    seed: int = 1,
    seeds: int = 1,
    policy: list[str] = [],  # noqa: B006
    faults: str = "",
    load: float = 1.0,
):
    """Measure policies in a model of engines and routers.

    :param profile: prasertkit or kowhai
    :param seed: the first seed
    :param seeds: how many seeds, each one more than the one before
    :param policy: policies to measure; all and the upper bound by default
    :param faults: crash, shift, hot, restart or cut; figures are of the 30 s after
    :param load: factor on the rate of the profile
    """
    chosen = policy or [*policy_names(), "bound"]
    spreads_by_policy = {
        name: spreads_of(
            [
                run_once(PROFILES_BY_NAME[profile], name, seed + i, load, faults)
                for i in range(seeds)
            ]
        )
        for name in chosen
    }
    print(msgspec.json.encode(spreads_by_policy).decode())
    print_table(spreads_by_policy, sys.stderr)


def print_table(spreads_by_policy, file):
    """Print the mean of each figure by policy, with its least and greatest."""
    print(f"{'policy':22}" + "".join(f"{name:>24}" for name in COLUMNS), file=file)
    for policy, spreads in spreads_by_policy.items():
        cells = "".join(f"{_cell(spreads[name]):>24}" for name in COLUMNS)
        print(f"{policy:22}{cells}", file=file)


def _cell(spread):
    form = ".3f" if spread.greatest < 2 else ".0f"
    return f"{spread.mean:{form}} ({spread.least:{form}}..{spread.greatest:{form}})"


if __name__ == "__main__":
    defopt.run(run)
