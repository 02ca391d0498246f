"""Buckets of durations that are the same at all routers, so that counts can be added.

Each bucket reaches BUCKET_RATIO times as far as the one before. A comparison may allow
a version to be slower by a number of buckets.
"""

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


def lower_limit(bucket):
    """Return the ms above which durations are in this bucket or a later one."""
    return 0 if bucket == 0 else round(FIRST_LIMIT_MS * BUCKET_RATIO ** (bucket - 1))
