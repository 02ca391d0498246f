"""Index of the engines that were seen with a prompt prefix in their cache."""

from collections import OrderedDict
from sys import getsizeof

MAX_PREFIX_COUNT = 4_096
MAX_HOLDER_COUNT = 8  # engines kept for each prefix
FIRST_AGE_BUCKET_MS = 250
AGE_BUCKET_COUNT = 10
LEARNING_RATE = 0.05
UNSEEN_BUCKET = 0
HOLDER_ENTRY_BYTES = 32


class PrefixIndex:
    """Least-recently-used index from prefix digests to the engines that hold them.

    Each engine is kept with the time in ms at which it was last seen with the prefix.
    """

    __slots__ = ("_last_seen_by_engine_by_prefix",)

    def __init__(self):
        self._last_seen_by_engine_by_prefix = OrderedDict()

    def __len__(self):
        return len(self._last_seen_by_engine_by_prefix)

    def size_in_bytes(self):
        """Return the approximate memory use of the index."""
        return getsizeof(self._last_seen_by_engine_by_prefix) + sum(
            getsizeof(digest)
            + getsizeof(last_seen)
            + len(last_seen) * HOLDER_ENTRY_BYTES
            for digest, last_seen in self._last_seen_by_engine_by_prefix.items()
        )

    def last_seen_by_engine(self, digest):
        """Return the ms at which each engine was last seen with the prefix `digest`."""
        return self._last_seen_by_engine_by_prefix.get(digest, {})

    def record(self, digest, engine_id, now):
        """Record that `engine_id` has the prefix `digest` in its cache at `now` ms.

        Beyond MAX_PREFIX_COUNT prefixes or MAX_HOLDER_COUNT engines of a prefix, the
        one that was recorded least recently is dropped.
        """
        last_seen_by_engine = self._last_seen_by_engine_by_prefix.get(digest)
        if last_seen_by_engine is None:
            last_seen_by_engine = self._last_seen_by_engine_by_prefix[digest] = {}
            if len(self._last_seen_by_engine_by_prefix) > MAX_PREFIX_COUNT:
                self._last_seen_by_engine_by_prefix.popitem(last=False)
        else:
            self._last_seen_by_engine_by_prefix.move_to_end(digest)
        last_seen_by_engine.pop(engine_id, None)
        last_seen_by_engine[engine_id] = now
        if len(last_seen_by_engine) > MAX_HOLDER_COUNT:
            del last_seen_by_engine[next(iter(last_seen_by_engine))]

    def remove_engine(self, engine_id):
        """Remove `engine_id` from all prefixes."""
        for last_seen_by_engine in self._last_seen_by_engine_by_prefix.values():
            last_seen_by_engine.pop(engine_id, None)


class RetentionEstimator:
    """Estimates the probability that an engine still has a prefix in its cache.

    Keeps a moving average of cache hits for each bucket, a bucket being the time since
    the engine was last seen with the prefix and whether the engine is the first in
    rendezvous order. The estimates are learned from answers, so that neither the cache
    size nor the eviction rule of engines has to be known. The first engine has buckets
    of its own, since all routers send it the same prefixes.
    """

    __slots__ = ("_hit_rates",)

    def __init__(self):
        first = [0.7] + [0.9 - 0.05 * step for step in range(AGE_BUCKET_COUNT)]
        other = [0.1] + [0.9 - 0.08 * step for step in range(AGE_BUCKET_COUNT)]
        self._hit_rates = [*first, *other]

    def bucket(self, is_first, age):
        """Return the index of the bucket for a prefix that was seen `age` ms ago.

        `age` is None for a prefix that was never seen on the engine. Age buckets end at
        1, 2, 4, ... times FIRST_AGE_BUCKET_MS.
        """
        index = UNSEEN_BUCKET
        if age is not None:
            doublings = (max(0, age) // FIRST_AGE_BUCKET_MS).bit_length()
            index = 1 + min(AGE_BUCKET_COUNT - 1, doublings)
        return index if is_first else index + AGE_BUCKET_COUNT + 1

    def hit_rate(self, bucket):
        """Return the estimated probability of a cache hit in `bucket`."""
        return self._hit_rates[bucket]

    def update(self, bucket, was_hit):
        """Update the estimate of `bucket` with the outcome of one request."""
        self._hit_rates[bucket] += LEARNING_RATE * (was_hit - self._hit_rates[bucket])
