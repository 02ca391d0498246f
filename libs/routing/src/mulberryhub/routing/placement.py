"""Rendezvous hashing that scores only a few of many engines for each digest."""

from heapq import nlargest
from math import log

from mulberryhub.base.digest import rendezvous_score, rendezvous_scores

GROUP_ENGINE_COUNT = 64  # upper bound of the mean group size
SCORE_RANGE = 2**64 + 1


class Placement:
    """Rendezvous ranking of the engines of one model.

    Engines are partitioned into groups by the hash of their ids. A group wins a digest
    with a probability proportional to its number of engines, and all engines within
    a group are equally likely. Up to GROUP_ENGINE_COUNT engines form a single group.
    """

    __slots__ = ("engines", "engines_by_id", "_groups", "_group_names", "_sizes")

    def __init__(self, engines):
        self.engines = engines
        self.engines_by_id = {engine.id: engine for engine in engines}
        group_count = _group_count(len(engines))
        groups_by_number = {}
        for engine in engines:
            name = engine.id.encode()
            number = rendezvous_score(b"group", name) % group_count
            groups_by_number.setdefault(number, EngineGroup()).add(name, engine)
        numbers = sorted(groups_by_number)
        self._groups = [groups_by_number[number] for number in numbers]
        self._group_names = [number.to_bytes(4) for number in numbers]
        self._sizes = [len(group.names) for group in self._groups]

    def rank(self, digest, count):
        """Return the `count` best engines for `digest`, the best first."""
        if len(self._groups) == 1:
            return self._groups[0].rank(digest, count)
        engines = []
        for group in self._ranked_groups(digest, count):
            engines.extend(group.rank(digest, count - len(engines)))
            if len(engines) >= count:
                break
        return engines

    def _ranked_groups(self, digest, count):
        """Return the best group if it has `count` engines, else all, the best first."""
        scores = rendezvous_scores(digest, self._group_names)
        weighted_scores = [
            size / -log((score + 1) / SCORE_RANGE)
            for size, score in zip(self._sizes, scores)
        ]
        best = weighted_scores.index(max(weighted_scores))
        if self._sizes[best] >= count:
            return [self._groups[best]]
        ranking = sorted(
            range(len(weighted_scores)), key=weighted_scores.__getitem__, reverse=True
        )
        return [self._groups[index] for index in ranking]


class EngineGroup:
    """Engines with their ids as bytes, ranked by rendezvous hashing."""

    __slots__ = ("names", "engines")

    def __init__(self):
        self.names = []
        self.engines = []

    def add(self, name, engine):
        """Add `engine`, whose id as bytes is `name`."""
        self.names.append(name)
        self.engines.append(engine)

    def rank(self, digest, count):
        """Return the `count` best engines for `digest`, the best first."""
        scored = list(
            zip(
                rendezvous_scores(digest, self.names),
                self.names,
                range(len(self.names)),
            )
        )
        return [self.engines[index] for _, _, index in nlargest(count, scored)]


def _group_count(engine_count):
    """Return the least power of two that bounds the mean group size."""
    group_count = 1
    while group_count * GROUP_ENGINE_COUNT < engine_count:
        group_count *= 2
    return group_count
