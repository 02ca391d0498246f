"""Rendezvous hashing over many engines without a look at each of them."""

from heapq import nlargest
from math import log

from mulberryhub.base.digest import placement_score, placement_scores

GROUP_SIZE = 64  # engines
SCORE_RANGE = 2**64 + 1


class Placement:
    """The engines of one model in groups by the hash of their ids.

    A group wins a digest with the chance of its share of the engines, and within
    it each engine has the same chance. Up to GROUP_SIZE engines are one group.
    """

    __slots__ = ("engines", "engines_by_id", "_groups", "_group_names", "_sizes")

    def __init__(self, engines):
        self.engines = engines
        self.engines_by_id = {engine.id: engine for engine in engines}
        count = _group_count(len(engines))
        groups_by_number = {}
        for engine in engines:
            name = engine.id.encode()
            number = placement_score(b"group", name) % count
            groups_by_number.setdefault(number, Group()).add(name, engine)
        numbers = sorted(groups_by_number)
        self._groups = [groups_by_number[number] for number in numbers]
        self._group_names = [number.to_bytes(4) for number in numbers]
        self._sizes = [len(group.names) for group in self._groups]

    def order(self, digest, count):
        """Return the best `count` engines for `digest`, the best first."""
        if len(self._groups) == 1:
            return self._groups[0].order(digest, count)
        engines = []
        for group in self._ranked_groups(digest, count):
            engines.extend(group.order(digest, count - len(engines)))
            if len(engines) >= count:
                break
        return engines

    def _ranked_groups(self, digest, count):
        scores = placement_scores(digest, self._group_names)
        weighed = [
            size / -log((score + 1) / SCORE_RANGE)
            for size, score in zip(self._sizes, scores)
        ]
        first = weighed.index(max(weighed))
        if self._sizes[first] >= count:
            return [self._groups[first]]
        order = sorted(range(len(weighed)), key=weighed.__getitem__, reverse=True)
        return [self._groups[index] for index in order]


class Group:
    """Engines with their names as bytes."""

    __slots__ = ("names", "engines")

    def __init__(self):
        self.names = []
        self.engines = []

    def add(self, name, engine):
        """Add an engine."""
        self.names.append(name)
        self.engines.append(engine)

    def order(self, digest, count):
        """Return the best `count` engines for `digest`, the best first."""
        scored = list(
            zip(
                placement_scores(digest, self.names), self.names, range(len(self.names))
            )
        )
        return [self.engines[index] for _, _, index in nlargest(count, scored)]


def _group_count(engines):
    count = 1
    while count * GROUP_SIZE < engines:
        count *= 2
    return count
