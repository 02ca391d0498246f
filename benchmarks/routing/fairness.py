"""Measures how a workspace at five times its rate slows down the others.

Run `python -m benchmarks.routing.fairness`. Requests above the rate limit of their
workspace are dropped before they reach a policy, as the rate limiter does.
"""

import sys

import defopt
import msgspec

from benchmarks.routing.__main__ import DURATION_MS, WARM_UP_MS, make_simulation
from benchmarks.routing.metrics import p95_by_workspace
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls

RATE_LIMIT_FACTOR = 1.25  # of the usual rate of the workspace
BURST_MS = 4_000  # the burst is what the limit allows in this time


class WorkspaceResult(msgspec.Struct):
    """The time to the first token of one workspace.

    `alone` and `beside_noise` are 95th percentiles in ms without and with the noisy
    workspace; `refused` counts the requests that routers refused beside it.
    """

    workspace: int
    alone: float
    beside_noise: float
    refused: int


def admitted_calls(calls, profile):
    """Return the calls that the token bucket of their workspace admits."""
    bucket_by_workspace = {}
    admitted = []
    for call in calls:
        rate = (
            profile.request_rate
            * profile.shares[call.workspace]
            * RATE_LIMIT_FACTOR
            / 1000
        )
        burst = max(2.0, rate * BURST_MS)
        level, updated_at = bucket_by_workspace.get(call.workspace, (burst, call.at))
        level = min(burst, level + (call.at - updated_at) * rate)
        if level >= 1:
            level -= 1
            admitted.append(call)
        bucket_by_workspace[call.workspace] = (level, call.at)
    return admitted


def measure(profile, policy, seed, noisy, limited=True):
    """Return the WorkspaceResult of each workspace except `noisy`."""
    p95s, refusals_by_workspace = [], {}
    for noisy_workspace in (None, noisy):
        calls = make_calls(profile, seed, DURATION_MS, 1.0, noisy_workspace)
        if limited:
            calls = admitted_calls(calls, profile)
        simulation = make_simulation(profile, policy, seed)
        results = simulation.run(calls)
        p95s.append(p95_by_workspace([r for r in results if r.call.at >= WARM_UP_MS]))
        for call in simulation.refused_calls if noisy_workspace is not None else []:
            refusals_by_workspace[call.workspace] = (
                refusals_by_workspace.get(call.workspace, 0) + 1
            )
    return [
        WorkspaceResult(
            workspace,
            p95s[0][workspace],
            p95s[1][workspace],
            refusals_by_workspace.get(workspace, 0),
        )
        for workspace in sorted(p95s[0])
        if workspace != noisy
    ]


def run(
    *,
    profile: str = "prasertkit",
    seed: int = 1,
    policy: str = "cost",
    noisy: int = 1,
    unlimited: bool = False,
):
    """Measure the time to the first token of the other workspaces.

    :param profile: prasertkit or kowhai
    :param seed: seed of the workload
    :param policy: policy of all routers; cost-priorities disables priorities
    :param noisy: number of the workspace that sends five times its rate
    :param unlimited: disable the rate limits
    """
    chosen = PROFILES_BY_NAME[profile]
    results = measure(chosen, policy, seed, noisy, not unlimited)
    print(msgspec.json.encode(results).decode())
    for result in results:
        ratio = result.beside_noise / result.alone
        print(
            f"workspace {result.workspace}: p95 {result.alone:.0f} ms alone, "
            f"{result.beside_noise:.0f} ms with noise ({ratio:.2f}), "
            f"{result.refused} refused",
            file=sys.stderr,
        )


if __name__ == "__main__":
    defopt.run(run)
