"""Computes the metrics of one run and their spread over several seeds."""

from statistics import mean

import msgspec


class RunMetrics(msgspec.Struct):
    """Metrics of one run.

    `hit_rate` is the share of prompt tokens that the chosen engine had cached,
    `wasted_share` the share that it recomputed although another engine had them
    cached. `p50`, `p95` and `p99` are percentiles of the time to the first token in
    ms, and `worst_p95` is the 95th percentile of the slowest workspace. `busy_share`
    is the share of time that engines spend on prefill.
    """

    requests: int
    hit_rate: float
    wasted_share: float
    p50: float
    p95: float
    p99: float
    worst_p95: float
    busy_share: float


class Spread(msgspec.Struct):
    """The mean, minimum and maximum of a metric over all seeds."""

    mean: float
    least: float
    greatest: float


def percentile(values, share):
    """Return the value below which `share` of the sorted `values` lie; 0 if empty."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def compute_metrics(results, simulation, window):
    """Return the RunMetrics of the calls that arrived in `window`.

    `window` is its start and end in ms.
    """
    start, end = window
    measured = [result for result in results if start <= result.call.at < end]
    prompt_tokens = sum(result.tokens for result in measured) or 1
    times = sorted(result.first_token_time for result in measured)
    busy_ms = mean(engine.busy_total_ms for engine in simulation.engines)
    return RunMetrics(
        requests=len(measured),
        hit_rate=sum(result.cached for result in measured) / prompt_tokens,
        wasted_share=sum(result.wasted for result in measured) / prompt_tokens,
        p50=percentile(times, 0.50),
        p95=percentile(times, 0.95),
        p99=percentile(times, 0.99),
        worst_p95=max(p95_by_workspace(measured).values(), default=0.0),
        busy_share=busy_ms / max(1.0, simulation.clock.time),
    )


def p95_by_workspace(results):
    """Return the 95th percentile of the time to the first token by workspace."""
    times_by_workspace = {}
    for result in results:
        times_by_workspace.setdefault(result.call.workspace, []).append(
            result.first_token_time
        )
    return {
        key: percentile(sorted(times), 0.95)
        for key, times in times_by_workspace.items()
    }


def compute_spreads(metrics_by_seed):
    """Return the Spread of each metric by its name in RunMetrics."""
    spreads = {}
    for name in RunMetrics.__struct_fields__:
        values = [getattr(metrics, name) for metrics in metrics_by_seed]
        spreads[name] = Spread(mean(values), min(values), max(values))
    return spreads
