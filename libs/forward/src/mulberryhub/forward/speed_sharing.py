"""What routers tell one another of the slowness of upstreams, in bounded size.

A report has a part of the upstreams only. The parts take turns by the wall clock, so
that the reports of all routers have the same part at a time and their sum is as small.
Routers whose clock is wrong report another part, which the sum has in addition.

Amounts are whole numbers and incarnations are named by a hash, which need fewer bytes.
Amounts are not negative, as `Usage` sums them.
"""

from zlib import crc32

from mulberryhub.forward.slowness import MAX_LOG_SLOWNESS, SlownessSum

MAX_SHARED_UPSTREAMS = 64  # about, in one report
TURN_MS = 2_000  # for one part, in which all reports reach all routers
UNITS = 16  # by which weights and logarithms are multiplied


def incarnation_key(id, started):
    """Return the number that names an incarnation in `Usage`."""
    return crc32(f"{id}/{started}".encode())


def part_count(upstream_count):
    """Return the number of parts that take turns."""
    return max(1, -(-upstream_count // MAX_SHARED_UPSTREAMS))


def encode_due(sums_by_id, upstreams_by_id, now, wall):
    """Return weights and totals of the SlownessSums that are due at the time `wall`."""
    parts = part_count(len(upstreams_by_id))
    part = wall // TURN_MS % parts
    weights, totals = {}, {}
    for id, item in sums_by_id.items():
        key = item.key
        if key % parts != part or not item.is_valid(upstreams_by_id, id, now):
            continue
        weight = item.weight * item.decay(now)
        if weight * UNITS >= 1:
            mean = item.total / item.weight
            weights[key] = round(UNITS * weight)
            totals[key] = round(UNITS * weight * (mean + MAX_LOG_SLOWNESS))
    return weights, totals


class SharedSums:
    """The SlownessSums of the other routers, kept between the turns of an upstream."""

    __slots__ = ("by_id",)

    def __init__(self):
        self.by_id = {}

    def read(self, usage, upstreams_by_id, now):
        """Take over the sums in the Usage of the other routers, None if not known."""
        for id, item in list(self.by_id.items()):
            if not item.is_valid(upstreams_by_id, id, now):
                del self.by_id[id]
        if usage is None or not usage.speed_weight_by_incarnation:
            return
        renewed_at = now + TURN_MS * (part_count(len(upstreams_by_id)) - 1)
        for id, upstream in upstreams_by_id.items():
            key = incarnation_key(id, upstream.started)
            units = usage.speed_weight_by_incarnation.get(key, 0)
            if units > 0:
                total = usage.slowness_by_incarnation.get(key, 0)
                item = _decode(upstream.started, key, units, total, renewed_at)
                self._take(id, item, now)

    def _take(self, id, item, now):
        """Replace what is known by `item`, which decays once it should be renewed.

        While the parts change, a sum lacks some routers, and out of turn it only has
        those whose clock is wrong. It does not replace one with more weight before that
        should be renewed.
        """
        known = self.by_id.get(id)
        if known is None or known.weight <= item.weight or known.updated_at <= now:
            self.by_id[id] = item


def _decode(started, key, units, total, updated_at):
    weight = units / UNITS
    bound = MAX_LOG_SLOWNESS * weight
    total = max(-bound, min(bound, total / UNITS - bound))
    return SlownessSum(started, key, updated_at, weight, total)
