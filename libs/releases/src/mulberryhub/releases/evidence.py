"""Evidence that a new version is worse than the old one over the same period."""

from math import log1p

import msgspec

from mulberryhub.releases.histogram import (
    BUCKET_COUNT,
    counts_from,
    lower_limit,
    median_position,
)

ALL_ROUTES = -1
MIN_EXCESS = 5  # bad responses more than expected; fewer may be an accident
MIN_EXCESS_SHARE = 0.05  # of the target's responses; less is no bad version to a caller
# Upstreams of one version differ in speed by up to this many buckets from their mean,
# and a new upstream has an empty cache.
MAX_SHIFT = 1.0
# Windows that a stall, and two crashes, of single upstreams may account for.
EXCLUDED_WINDOWS = 1
EXCLUDED_CRASH_WINDOWS = 4


class Evidence(msgspec.Struct, frozen=True):
    """How improbable the target's outcomes are if it is as good as the old version.

    The probability is at most e^-strength. `excess` is the number of bad responses
    beyond the expected ones, and `text` says what is bad.
    """

    strength: float = 0.0
    excess: float = 0.0
    text: str = "no evidence against the target"


class Comparison:
    """What the target and the old version had of one measure in one window."""

    __slots__ = ("total", "excess", "variance")

    def __init__(self, hits, total, old_hits, old_total):
        everyone = total + old_total
        self.total = total
        self.excess = self.variance = 0.0
        if total and old_total:
            rate = (hits + old_hits) / everyone
            self.excess = hits - total * rate
            spread = total * old_total / everyone
            self.variance = spread * rate * (1 - rate) * everyone / (everyone - 1)


def strongest_evidence(windows):
    """Return the strongest Evidence against the target, on any route and in any way.

    `windows` are Windows. Addresses versions that fail or are slow from the start, only
    later, or on one route: each way is looked for on each route and on all routes
    together, over all windows and over those since each earlier moment.
    """
    comparisons_by_way = {}
    total = windows.total()
    for group in sorted(total.groups):
        for way, comparisons in _group_comparisons(windows.items, total, group):
            comparisons_by_way[group, *way] = comparisons
            together = comparisons_by_way.setdefault((ALL_ROUTES, *way), [])
            together.append(comparisons)
    best = Evidence()
    for way, comparisons in comparisons_by_way.items():
        rows = comparisons if way[0] == ALL_ROUTES else [comparisons]
        found = _scan(way, rows)
        if found.strength > best.strength:
            best = found
    return best


def _group_comparisons(items, total, group):
    """Yield each way to be bad, and the Comparison of each window, on one group."""
    pairs = [(item.target(group), item.old(group)) for item in items]
    for field in ("failed", "lost"):
        if getattr(total.target(group), field) >= 1:
            yield (field, 0), [_compare_field(field, *pair) for pair in pairs]
    for field in ("first_bytes", "pauses"):
        yield from _slow_comparisons(field, pairs, total, group)


def _compare_field(field, target, old):
    return Comparison(
        getattr(target, field), target.ended, getattr(old, field), old.ended
    )


def _slow_comparisons(field, pairs, total, group):
    """Yield the comparisons of durations beyond each limit.

    The old version's durations count as longer by the factor between the medians, up
    to MAX_SHIFT, so that slower machines and empty caches are no evidence.
    """
    all_target = getattr(total.target(group), field)
    all_old = getattr(total.old(group), field)
    if not sum(all_target) or not sum(all_old):
        return
    difference = median_position(all_target) - median_position(all_old)
    shift = min(MAX_SHIFT, max(0.0, difference))
    counts = [
        (counts_from(getattr(target, field)), counts_from(getattr(old, field)))
        for target, old in pairs
    ]
    total_counts = counts_from(all_target)
    for bucket in range(1, BUCKET_COUNT):
        if total_counts[bucket]:
            yield (
                (field, bucket),
                [_compare_from(bucket, shift, *pair) for pair in counts],
            )


def _compare_from(bucket, shift, target, old):
    old_hits = old[bucket] * (1 - shift) + old[bucket - 1] * shift
    return Comparison(target[bucket], target[0], old_hits, old[0])


def _scan(way, rows):
    """Return the strongest Evidence of one way over the last windows, however many.

    `rows` are the comparisons by window, one row for each group. The windows with most
    excess are left out: these may be the accident of a single upstream.
    """
    group, field, bucket = way
    excluded = EXCLUDED_CRASH_WINDOWS if field == "lost" else EXCLUDED_WINDOWS
    best, recent = (0.0, 0.0), []
    excess = variance = total = 0.0
    for column in zip(*(reversed(row) for row in rows)):
        window = sum(c.excess for c in column), sum(c.variance for c in column)
        excess, variance = excess + window[0], variance + window[1]
        total += sum(c.total for c in column)
        recent = sorted([*recent, window], reverse=True)[:excluded]
        rest = excess - sum(e for e, _ in recent), variance - sum(v for _, v in recent)
        if rest[0] >= max(MIN_EXCESS, MIN_EXCESS_SHARE * total):
            best = max(best, (_strength(*rest), excess))
    if not best[0]:
        return Evidence()
    return Evidence(*best, _describe(group, field, bucket, best[1]))


def _strength(excess, variance):
    """Return Bennett's bound of -ln P(an excess as large by accident)."""
    ratio = excess / max(variance, 1e-6)
    return variance * ((1 + ratio) * log1p(ratio) - ratio)


def _describe(group, field, bucket, excess):
    routes = "all routes" if group == ALL_ROUTES else f"routes of group {group}"
    what = {
        "failed": "failed responses",
        "lost": "lost connections",
        "first_bytes": f"first bytes after {lower_limit(bucket)} ms",
        "pauses": f"pauses over {lower_limit(bucket)} ms",
    }[field]
    return f"{excess:.0f} more {what} than expected on {routes}"
