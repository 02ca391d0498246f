"""What a router has seen of engines' caches, for the prefixes used most recently."""

from collections import OrderedDict
from sys import getsizeof

PREFIXES_KEPT = 4_096
HOLDERS_KEPT = 8
AGE_UNIT = 250  # ms
AGE_CLASSES = 10
GAIN = 0.05
UNSEEN = 0
SIGHTING_SIZE = 32  # bytes


class Knowledge:
    """Which engines were seen to hold which prefixes, and when last."""

    __slots__ = ("_seen_by_prefix",)

    def __init__(self):
        self._seen_by_prefix = OrderedDict()

    def __len__(self):
        return len(self._seen_by_prefix)

    def size_in_bytes(self):
        """Return about how much memory the entries take."""
        return getsizeof(self._seen_by_prefix) + sum(
            getsizeof(digest) + getsizeof(seen) + len(seen) * SIGHTING_SIZE
            for digest, seen in self._seen_by_prefix.items()
        )

    def seen_by_engine(self, digest):
        """Return the time at which each engine was last seen to hold `digest`."""
        return self._seen_by_prefix.get(digest, {})

    def record(self, digest, engine_id, now):
        """Note that `engine_id` holds `digest`."""
        seen_by_engine = self._seen_by_prefix.get(digest)
        if seen_by_engine is None:
            seen_by_engine = self._seen_by_prefix[digest] = {}
            if len(self._seen_by_prefix) > PREFIXES_KEPT:
                self._seen_by_prefix.popitem(last=False)
        else:
            self._seen_by_prefix.move_to_end(digest)
        seen_by_engine.pop(engine_id, None)
        seen_by_engine[engine_id] = now
        if len(seen_by_engine) > HOLDERS_KEPT:
            del seen_by_engine[next(iter(seen_by_engine))]

    def forget_engine(self, engine_id):
        """Drop all entries of `engine_id`."""
        for seen_by_engine in self._seen_by_prefix.values():
            seen_by_engine.pop(engine_id, None)


class Retention:
    """The share of prefixes that engines still held, by rank and age of the sighting.

    Learned from answers, so that no cache size or eviction rule has to be known.
    The first engine in rendezvous order is told from the others, since all routers
    send it the same prefixes.
    """

    __slots__ = ("_shares",)

    def __init__(self):
        first = [0.7] + [0.9 - 0.05 * age for age in range(AGE_CLASSES)]
        other = [0.1] + [0.9 - 0.08 * age for age in range(AGE_CLASSES)]
        self._shares = [*first, *other]

    def sighting(self, is_first, age):
        """Return the number of the class of a sighting; `age` in ms, None if unseen."""
        number = UNSEEN
        if age is not None:
            steps = (max(0, age) // AGE_UNIT).bit_length()
            number = 1 + min(AGE_CLASSES - 1, steps)
        return number if is_first else number + AGE_CLASSES + 1

    def share(self, sighting):
        """Return the share of prefixes that were still held in such a case."""
        return self._shares[sighting]

    def learn(self, sighting, was_held):
        """Take in one case."""
        self._shares[sighting] += GAIN * (was_held - self._shares[sighting])
