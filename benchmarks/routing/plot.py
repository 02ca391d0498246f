"""Draws the time to first token and the hit rate of policies over time to PNG files.

Run `python -m benchmarks.routing.plot --output plots`.
"""

from pathlib import Path

import defopt
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from benchmarks.routing.__main__ import run_results  # noqa: E402
from benchmarks.routing.measures import percentile  # noqa: E402
from benchmarks.routing.profiles import PROFILES_BY_NAME  # noqa: E402

STEP = 2_000  # ms


def series(results):
    """Return times in s, 95th percentiles in ms and hit rates, one for each step."""
    results_by_step = {}
    for result in results:
        results_by_step.setdefault(int(result.call.at // STEP), []).append(result)
    steps = sorted(results_by_step)
    p95s, hit_rates = [], []
    for step in steps:
        inside = results_by_step[step]
        times = sorted(result.first_token_time for result in inside)
        tokens = sum(result.tokens for result in inside)
        p95s.append(percentile(times, 0.95))
        hit_rates.append(sum(result.cached for result in inside) / tokens)
    return [step * STEP / 1_000 for step in steps], p95s, hit_rates


def draw(
    *,
    output: Path = Path("plots"),
    profile: str = "prasertkit",
    seed: int = 1,
    policy: list[str] = ["cost", "bound"],  # noqa: B006
    faults: str = "",
    load: float = 1.0,
):
    """Draw one figure.

    :param output: directory for the PNG file
    :param profile: prasertkit or kowhai
    :param seed: seed of the workload
    :param policy: policies to draw
    :param faults: crash, shift, hot, restart or cut, at 30 s
    :param load: factor on the rate of the profile
    """
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for name in policy:
        results, _ = run_results(PROFILES_BY_NAME[profile], name, seed, load, faults)
        times, p95s, hit_rates = series(results)
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
