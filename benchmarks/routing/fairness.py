"""Measures what one workspace at five times its rate costs the others.

Run `python -m benchmarks.routing.fairness`. Requests beyond the allowance of their
workspace are refused before they reach a policy, as the limiter does.
"""

import sys

import defopt
import msgspec

from benchmarks.routing.__main__ import DURATION, WARM_UP, make_model
from benchmarks.routing.measures import p95_by_workspace
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls

ALLOWANCE = 1.25  # of the usual rate
BURST_TIME = 4_000  # ms of the allowance


class Row(msgspec.Struct):
    """The 95th percentile of one workspace, in ms, and its refusals."""

    workspace: int
    alone: float
    beside_noise: float
    refused: int


def within_allowance(calls, profile):
    """Return the calls that a token bucket for each workspace admits."""
    level_by_workspace = {}
    admitted = []
    for call in calls:
        rate = profile.rate * profile.shares[call.workspace] * ALLOWANCE / 1000
        burst = max(2.0, rate * BURST_TIME)
        level, at = level_by_workspace.get(call.workspace, (burst, call.at))
        level = min(burst, level + (call.at - at) * rate)
        if level >= 1:
            level -= 1
            admitted.append(call)
        level_by_workspace[call.workspace] = (level, call.at)
    return admitted


def measure(profile, policy, seed, noisy, limited=True):
    """Return the Row of each workspace but `noisy`."""
    p95s, refusals = [], {}
    for noise in (None, noisy):
        calls = make_calls(profile, seed, DURATION, 1.0, noise)
        if limited:
            calls = within_allowance(calls, profile)
        model = make_model(profile, policy, seed)
        results = model.run(calls)
        p95s.append(p95_by_workspace([r for r in results if r.call.at >= WARM_UP]))
        for call in model.refused if noise is not None else []:
            refusals[call.workspace] = refusals.get(call.workspace, 0) + 1
    return [
        Row(key, p95s[0][key], p95s[1][key], refusals.get(key, 0))
        for key in sorted(p95s[0])
        if key != noisy
    ]


def run(
    *,
    profile: str = "prasertkit",
    seed: int = 1,
    policy: str = "cost",
    noisy: int = 1,
    unlimited: bool = False,
):
    """Measure the time to first token of the other workspaces.

    :param profile: prasertkit or kowhai
    :param seed: seed of the workload
    :param policy: policy of all routers; cost-priorities is without priorities
    :param noisy: the workspace that sends five times its rate
    :param unlimited: leave out the allowances
    """
    chosen = PROFILES_BY_NAME[profile]
    rows = measure(chosen, policy, seed, noisy, not unlimited)
    print(msgspec.json.encode(rows).decode())
    for row in rows:
        ratio = row.beside_noise / row.alone
        print(
            f"workspace {row.workspace}: p95 {row.alone:.0f} ms alone, "
            f"{row.beside_noise:.0f} ms beside noise ({ratio:.2f}), "
            f"{row.refused} refused",
            file=sys.stderr,
        )


if __name__ == "__main__":
    defopt.run(run)
