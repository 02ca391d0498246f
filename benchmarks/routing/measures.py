"""Figures of one run and their spread over several seeds."""

from statistics import mean

import msgspec


class Figures(msgspec.Struct):
    """Shares are of prompt tokens, times are in ms."""

    requests: int
    hit_rate: float
    wasted_share: float
    p50: float
    p95: float
    p99: float
    worst_p95: float
    busy_share: float


class Spread(msgspec.Struct):
    """The mean of a figure over all seeds with the least and the greatest."""

    mean: float
    least: float
    greatest: float


def percentile(values, share):
    """Return the value below which `share` of the sorted `values` lie."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def figures_of(results, model, window):
    """Return the Figures of the results whose calls came in `window` (ms, ms)."""
    start, end = window
    inside = [result for result in results if start <= result.call.at < end]
    tokens = sum(result.tokens for result in inside) or 1
    times = sorted(result.first_token_time for result in inside)
    busy = mean(engine.busy_total for engine in model.engines)
    return Figures(
        requests=len(inside),
        hit_rate=sum(result.cached for result in inside) / tokens,
        wasted_share=sum(result.wasted for result in inside) / tokens,
        p50=percentile(times, 0.50),
        p95=percentile(times, 0.95),
        p99=percentile(times, 0.99),
        worst_p95=max(p95_by_workspace(inside).values(), default=0.0),
        busy_share=busy / max(1.0, model.clock.time),
    )


def p95_by_workspace(results):
    """Return the 95th percentile of the time to first token by workspace."""
    times = {}
    for result in results:
        times.setdefault(result.call.workspace, []).append(result.first_token_time)
    return {key: percentile(sorted(values), 0.95) for key, values in times.items()}


def spreads_of(figures_by_seed):
    """Return the Spread of each figure by name."""
    spreads = {}
    for name in Figures.__struct_fields__:
        values = [getattr(figures, name) for figures in figures_by_seed]
        spreads[name] = Spread(mean(values), min(values), max(values))
    return spreads
