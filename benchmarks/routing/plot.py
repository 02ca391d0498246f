"""Plots the time to the first token and the hit rate of policies over time.

Run `python -m benchmarks.routing.plot --output plots`; it writes a PNG file.
"""

from pathlib import Path

import defopt
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from benchmarks.routing.__main__ import run_simulation  # noqa: E402
from benchmarks.routing.metrics import percentile  # noqa: E402
from benchmarks.routing.profiles import PROFILES_BY_NAME  # noqa: E402

INTERVAL_MS = 2_000


def time_series(results):
    """Return the start in s, 95th percentile in ms and hit rate of each interval."""
    results_by_interval = {}
    for result in results:
        results_by_interval.setdefault(int(result.call.at // INTERVAL_MS), []).append(
            result
        )
    intervals = sorted(results_by_interval)
    p95s, hit_rates = [], []
    for interval in intervals:
        measured = results_by_interval[interval]
        times = sorted(result.first_token_time for result in measured)
        prompt_tokens = sum(result.tokens for result in measured)
        p95s.append(percentile(times, 0.95))
        hit_rates.append(sum(result.cached for result in measured) / prompt_tokens)
    return [interval * INTERVAL_MS / 1_000 for interval in intervals], p95s, hit_rates


def draw(
    *,
    output: Path = Path("plots"),
    profile: str = "prasertkit",
    seed: int = 1,
    policy: list[str] = ["cost", "bound"],  # noqa: B006
    faults: str = "",
    load: float = 1.0,
):
    """Plot one figure and print the path of its file.

    :param output: directory of the PNG file
    :param profile: prasertkit or kowhai
    :param seed: seed of the workload
    :param policy: policies to plot
    :param faults: crash, shift, hot, restart or cut; it occurs at 30 s
    :param load: factor on the request rate of the profile
    """
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for name in policy:
        results, _ = run_simulation(PROFILES_BY_NAME[profile], name, seed, load, faults)
        times, p95s, hit_rates = time_series(results)
        upper.plot(times, p95s, label=name)
        lower.plot(times, hit_rates, label=name)
    upper.set_ylabel("p95 time to first token (ms)")
    lower.set_ylabel("hit rate")
    lower.set_xlabel("time (s)")
    lower.set_ylim(0, 1)
    upper.legend()
    output.mkdir(parents=True, exist_ok=True)
    path = output / f"routing-{profile}-{faults or 'steady'}-{seed}.png"
    figure.savefig(path)
    print(path)


if __name__ == "__main__":
    defopt.run(draw)
