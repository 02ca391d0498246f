"""Buckets of durations that are the same at all routers, so that counts can be added.

Positions are in buckets and may be fractions: 1 more is BUCKET_RATIO times as long.
"""

from itertools import accumulate
from math import ceil, log

BUCKET_RATIO = 1.5
FIRST_LIMIT_MS = 8  # shorter durations are alike to any caller
BUCKET_COUNT = 20  # the last one begins at 12 s, longer than most deadlines


def bucket_of(duration):
    """Return the number of the bucket that holds a duration in ms."""
    if duration <= FIRST_LIMIT_MS:
        return 0
    steps = ceil(log(duration / FIRST_LIMIT_MS) / log(BUCKET_RATIO))
    return min(steps, BUCKET_COUNT - 1)


def counts_from(histogram):
    """Return for each bucket the number of durations in it and in later ones."""
    return list(accumulate(reversed(histogram)))[::-1]


def median_position(histogram):
    """Return the position of the median of a histogram that is not empty."""
    rest = sum(histogram) / 2
    for bucket, count in enumerate(histogram):
        if count >= rest:
            return bucket + rest / count
        rest -= count
    raise ValueError("the histogram is empty")
