"""Rendezvous hashing over many engines without a look at each of them."""

from heapq import nlargest
from math import log

from mulberryhub.base.digest import placement_score

GROUP_SIZE = 64  # engines
SCORE_RANGE = 2**64


class Placement:
    """The engines of one model in groups by the hash of their ids.

    A group wins a digest with the chance of its share of the engines, and within
    it each engine has the same chance. Up to GROUP_SIZE engines are one group.
    """

    __slots__ = ("engines", "engines_by_id", "_groups")

    def __init__(self, engines):
        self.engines = engines
        self.engines_by_id = {engine.id: engine for engine in engines}
        count = _group_count(len(engines))
        members_by_group = {}
        for engine in engines:
            name = engine.id.encode()
            number = placement_score(b"group", name) % count
            members_by_group.setdefault(number, []).append((name, engine))
        self._groups = [
            (number.to_bytes(4), len(members), members)
            for number, members in sorted(members_by_group.items())
        ]

    def order(self, digest, count):
        """Return the best `count` engines for `digest`, the best first."""
        engines = []
        for members in self._ranked_groups(digest, count):
            scored = [
                (placement_score(digest, name), name, engine)
                for name, engine in members
            ]
            best = nlargest(count - len(engines), scored, key=_score_and_name)
            engines.extend(engine for _, _, engine in best)
            if len(engines) >= count:
                break
        return engines

    def reorder(self, digest, engines):
        """Return `engines` in rendezvous order for `digest`."""

        def score(engine):
            return placement_score(digest, engine.id.encode()), engine.id

        return sorted(engines, key=score, reverse=True)

    def _ranked_groups(self, digest, count):
        if len(self._groups) == 1:
            return [self._groups[0][2]]
        scored = []
        for name, size, members in self._groups:
            share = (placement_score(digest, name) + 1) / (SCORE_RANGE + 1)
            scored.append((size / -log(share), name, members))
        needed = min(len(scored), 1 + count // 8)
        return [members for _, _, members in nlargest(needed, scored)]


def _group_count(engines):
    count = 1
    while count * GROUP_SIZE < engines:
        count *= 2
    return count


def _score_and_name(item):
    return item[0], item[1]
