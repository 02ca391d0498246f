"""Evidence that a new version is worse than the old one over the same period."""

from math import ceil, log, log1p

import msgspec

from mulberryhub.releases.histogram import (
    BUCKET_COUNT,
    BUCKET_RATIO,
    counts_from,
    median_position,
)
from mulberryhub.releases.windows import WINDOW_MS

ALL_ROUTES = -1
MIN_EXCESS = 5  # bad responses more than expected; fewer may be an accident
MIN_EXCESS_SHARE = 0.05  # of the target's responses; less is no bad version to a caller
# Upstreams of one version differ in speed by up to this many buckets from their mean,
# and a new upstream has an empty cache.
MAX_SHIFT = 0.7
TURNS_SHIFT = 0.4  # at least, where one upstream is observed at a time
SLOW_FACTORS = range(2, 7)  # buckets above the usual duration of a route: 2.2 to 11 x
# Windows that a stall, and two crashes, of single upstreams may account for.
EXCLUDED_WINDOWS = 1
EXCLUDED_CRASH_WINDOWS = 4
ACCIDENT_STRENGTH = 5.0  # at most, of what these windows add to the rest


# For how long the share must have been alike where a comparison begins: nearly all
# responses begin, and streams end, and are known within this time.
SETTLING_MS = 3_000
STREAM_SETTLING_MS = 8_000


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

    __slots__ = ("total", "hits", "all_hits", "expected", "variance")

    def __init__(self, hits=0, total=0, old_hits=0, old_total=0):
        self.total = total if old_total else 0
        self.hits = self.all_hits = self.expected = self.variance = 0.0
        everyone = total + old_total
        if total and old_total:
            self.hits, self.all_hits = hits, hits + old_hits
            self.expected = self.all_hits * total / everyone
            rate = min(1.0, self.all_hits / everyone)
            spread = total * old_total / (everyone - 1)
            self.variance = spread * rate * (1 - rate)

    @property
    def excess(self):
        """Return the number of bad responses beyond the expected ones."""
        return self.hits - self.expected

    def add(self, other, sign=1):
        """Add another comparison, or subtract it if `sign` is -1."""
        self.total += sign * other.total
        self.hits += sign * other.hits
        self.all_hits += sign * other.all_hits
        self.expected += sign * other.expected
        self.variance += sign * other.variance

    def strength(self):
        """Return a bound of -ln P(as many by accident), 0 if there are too few.

        Both bounds hold if each bad response is as likely to be one of the target as
        any other response: Hoeffding's is tighter for rare ones, Bennett's for others.
        """
        excess, hits, expected = self.excess, self.hits, self.expected
        if excess < max(MIN_EXCESS, MIN_EXCESS_SHARE * self.total):
            return 0.0
        ratio = excess / max(self.variance, 1e-6)
        bennett = self.variance * ((1 + ratio) * log1p(ratio) - ratio)
        old_hits = max(self.all_hits - hits, 1e-9)
        hoeffding = hits * log(hits / expected) + old_hits * log(
            old_hits / (self.all_hits - expected)
        )
        return max(bennett, hoeffding)


def strongest_evidence(windows, slow_time=0):
    """Return the strongest Evidence against the target, on any route and in any way.

    `windows` are Windows. Addresses versions that fail or are slow from the start, only
    later, or on one route: each way is looked for on each route and on all routes
    together, over all windows and over those since each earlier moment, which for slow
    responses is at least `slow_time` ms ago.
    """
    comparisons_by_way = {}
    least_shift = TURNS_SHIFT if slow_time else 0.0
    total = windows.total()
    for group in sorted(total.groups):
        for way, comparisons in _group_comparisons(
            windows.items, total, group, least_shift
        ):
            comparisons_by_way[group, *way] = comparisons
            together = comparisons_by_way.setdefault((ALL_ROUTES, *way), [])
            together.append(comparisons)
    best = Evidence()
    for way, comparisons in comparisons_by_way.items():
        rows = comparisons if way[0] == ALL_ROUTES else [comparisons]
        starts = _fair_starts(way[1], windows.settled_times, slow_time)
        found = _scan(way, rows, starts)
        if found.strength > best.strength:
            best = found
    return best


def _group_comparisons(items, total, group, least_shift):
    """Yield each way to be bad, and the Comparison of each window, on one group."""
    pairs = [(item.target(group), item.old(group)) for item in items]
    for field in ("failed", "lost"):
        if getattr(total.target(group), field) >= 1:
            yield (field, 0), [_compare_field(field, *pair) for pair in pairs]
    for field in ("first_bytes", "pauses"):
        yield from _slow_comparisons(field, pairs, total, group, least_shift)


def _compare_field(field, target, old):
    hits, old_hits = getattr(target, field), getattr(old, field)
    return Comparison(hits, _begun(target), old_hits, _begun(old))


def _begun(tally):
    """Return the number of responses begun, as errors come long before streams end."""
    return max(sum(tally.first_bytes), tally.failed + tally.lost)


def _slow_comparisons(field, pairs, total, group, least_shift):
    """Yield the comparisons of durations beyond some multiples of the usual one.

    Multiples let routes of different durations be compared together. The old version's
    durations count as longer by the factor between the medians, within limits, so
    that slower machines and empty caches are no evidence.
    """
    all_target = getattr(total.target(group), field)
    all_old = getattr(total.old(group), field)
    if not sum(all_target) or not sum(all_old):
        return
    difference = median_position(all_target) - median_position(all_old)
    shift = min(MAX_SHIFT, max(least_shift, difference))
    counts = [
        (counts_from(getattr(target, field)), counts_from(getattr(old, field)))
        for target, old in pairs
    ]
    usual = round(median_position(all_old))
    for factor in SLOW_FACTORS:
        bucket = min(usual + factor, BUCKET_COUNT - 1)
        yield (field, factor), [_compare_from(bucket, shift, *pair) for pair in counts]


def _compare_from(bucket, shift, target, old):
    old_hits = old[bucket] * (1 - shift) + old[bucket - 1] * shift
    return Comparison(target[bucket], target[0], old_hits, old[0])


def _fair_starts(field, settled_times, slow_time):
    """Return for each window whether a comparison of this field may begin there."""
    needed = STREAM_SETTLING_MS if field == "pauses" else SETTLING_MS
    is_slow = field in ("first_bytes", "pauses")
    last = len(settled_times) - (ceil(slow_time / WINDOW_MS) if is_slow else 0)
    return [
        index == 0 or (settled >= needed and index <= last)
        for index, settled in enumerate(settled_times)
    ]


def _scan(way, rows, fair_starts):
    """Return the strongest Evidence of one way over the last windows, however many.

    `rows` are the comparisons by window, one row for each group. The windows with most
    excess may be the accident of a single upstream, so the rest must be evidence, too.
    """
    group, field, factor = way
    excluded = EXCLUDED_CRASH_WINDOWS if field == "lost" else EXCLUDED_WINDOWS
    best, best_excess = 0.0, 0.0
    since, worst = Comparison(), []
    for index in reversed(range(len(fair_starts))):
        column = [row[index] for row in rows]
        window = Comparison()
        for comparison in column:
            window.add(comparison)
        since.add(window)
        worst = sorted([*worst, window], key=_excess, reverse=True)[:excluded]
        if not fair_starts[index]:
            continue
        strength = since.strength()
        if strength > best:
            strength = min(strength, _strength_without(since, worst))
        if strength > best:
            best, best_excess = strength, since.excess
    if not best:
        return Evidence()
    return Evidence(best, best_excess, _describe(group, field, factor, best_excess))


def _excess(comparison):
    return comparison.excess


def _strength_without(since, worst):
    """Return the strength that the rest without the worst windows permits."""
    rest = Comparison()
    rest.add(since)
    for window in worst:
        rest.add(window, -1)
    return rest.strength() + ACCIDENT_STRENGTH if rest.excess > 0 else 0.0


def _describe(group, field, factor, excess):
    routes = "all routes" if group == ALL_ROUTES else f"routes of group {group}"
    usual = f"{BUCKET_RATIO**factor:.1f} times"
    what = {
        "failed": "failed responses",
        "lost": "lost connections",
        "first_bytes": f"first bytes after {usual} the usual time",
        "pauses": f"pauses over {usual} the usual ones",
    }[field]
    return f"{excess:.0f} more {what} than expected on {routes}"
