"""Finds which suspects caused the crashes of upstreams, from all reports together.

The request that crashes an upstream is never the only one there, and it shares most of
its prompt with requests that are completed. So a suspect is not judged by itself: the
one that explains most crashes is blamed first, its crashes then count against no other
suspect, and as long as two suspects explain the same crashes equally well, none of them
is blamed. This is spectrum-based fault localization with a greedy set cover.
"""

from math import inf

from mulberryhub.fleet.records import QUARANTINE_RUN_COUNT

SETTLE_MS = 250  # until the reports of all routers on one crash have arrived
CERTAIN_CRASH_COUNT = 5  # crashes after which no further evidence is awaited
# Of a request, as it began to run, with no run completed in between. Other upstreams
# may end as often as they like: they rarely do so just then, and five times in a row.
CERTAIN_EARLY_CRASH_COUNT = 5
ANSWERING_CRASHES_PER_EARLY_ONE = 2  # that weigh as much, after half a second of answer
MIN_REQUEST_COUNT = 3  # requests that crashed with a part, as one may be repeated
# Share of the crashes in its period that a suspect must explain otherwise, by their
# least number.
MIN_EXPLAINED_SHARES = ((7, 0.0), (5, 0.5), (4, 0.75), (QUARANTINE_RUN_COUNT, 1.0))


class Evidence:
    """What speaks against one suspect.

    `crashed_at_by_incarnation` holds the ms at which each crash became known, of those
    that no other blamed suspect explains. `runs` are the pairs of incarnation and
    request concerned. `early_crash_count` is the number of crashes before an answer had
    been going on for a while.
    """

    __slots__ = (
        "suspect",
        "crashed_at_by_incarnation",
        "runs",
        "has_repeat",
        "early_crash_count",
    )

    def __init__(self, suspect, crashed_at_by_incarnation, explained):
        runs = [run for run in suspect.crashed_runs if run.incarnation not in explained]
        self.suspect = suspect
        self.crashed_at_by_incarnation = {
            run.incarnation: crashed_at_by_incarnation.get(run.incarnation, 0)
            for run in runs
        }
        self.runs = frozenset((run.incarnation, run.request) for run in runs)
        self.has_repeat = any(run.is_repeat for run in runs)
        self.early_crash_count = sum(not run.was_answering for run in runs)

    @property
    def crash_count(self):
        """Return the number of crashes that speak against the suspect."""
        return len(self.crashed_at_by_incarnation)

    @property
    def is_enough(self):
        """Return whether the suspect may be blamed."""
        return self.crash_count >= QUARANTINE_RUN_COUNT

    @property
    def request_count(self):
        """Return the number of different requests in these runs."""
        return len({request for _, request in self.runs})

    @property
    def order(self):
        """Return the sort key that puts the most likely cause first."""
        suspect = self.suspect
        return (
            -self.crash_count,
            -self.request_count,
            suspect.breadth,
            suspect.fingerprint,
        )

    def overlaps(self, other):
        """Return whether a crash speaks against both suspects."""
        return not self.crashed_at_by_incarnation.keys().isdisjoint(
            other.crashed_at_by_incarnation
        )

    def is_settled(self, now):
        """Return whether all reports on the last of the crashes have arrived."""
        return now - max(self.crashed_at_by_incarnation.values()) >= SETTLE_MS

    def explained_share(self, crashed_at_by_incarnation, explained):
        """Return the share of all crashes that the suspect explains.

        Counted are the crashes from its first to its last one that no other blamed
        suspect explains.
        """
        times = self.crashed_at_by_incarnation.values()
        first, last = min(times), max(times)
        others = sum(
            first <= crashed_at <= last
            and incarnation not in explained
            and incarnation not in self.crashed_at_by_incarnation
            for incarnation, crashed_at in crashed_at_by_incarnation.items()
        )
        return self.crash_count / (self.crash_count + others)


class Verdicts:
    """The fingerprints of blamed suspects, and of `open` ones that may be blamed."""

    __slots__ = ("blamed", "open")

    def __init__(self, blamed=(), open=()):
        self.blamed = frozenset(blamed)
        self.open = frozenset(open)


def find_verdicts(suspects, crashed_at_by_incarnation, blamed_before, now):
    """Return the Verdicts on `suspects`.

    `crashed_at_by_incarnation` holds the ms at which each crash became known, and
    `blamed_before` the fingerprints that were blamed up to now. Those remain blamed
    unless another suspect explains their crashes better.
    """
    explained = set()
    blamed = set()
    while True:
        evidence = _open_evidence(
            suspects, crashed_at_by_incarnation, explained, blamed
        )
        cause = next(
            (
                item
                for item in evidence
                if item.suspect.fingerprint in blamed_before
                or _is_cause(item, evidence, crashed_at_by_incarnation, explained, now)
            ),
            None,
        )
        if cause is None:
            return Verdicts(blamed, [item.suspect.fingerprint for item in evidence])
        blamed.add(cause.suspect.fingerprint)
        explained.update(cause.crashed_at_by_incarnation)


def _open_evidence(suspects, crashed_at_by_incarnation, explained, blamed):
    """Return the Evidence against suspects that may be blamed, most likely first."""
    items = [
        Evidence(suspect, crashed_at_by_incarnation, explained)
        for suspect in suspects
        if suspect.fingerprint not in blamed
    ]
    return sorted(
        (item for item in items if item.is_enough), key=lambda item: item.order
    )


def _is_cause(item, evidence, crashed_at_by_incarnation, explained, now):
    """Return whether a suspect is the most likely cause of its crashes."""
    if not item.has_repeat:
        return False
    if any(_is_better(other, item) for other in evidence if other is not item):
        return False
    if not _explains_enough(item, crashed_at_by_incarnation, explained):
        return False
    return item.crash_count >= CERTAIN_CRASH_COUNT or (
        item.is_settled(now)
        and (not item.suspect.breadth or item.request_count >= MIN_REQUEST_COUNT)
        and not any(_is_rival(other, item) for other in evidence if other is not item)
    )


def _explains_enough(item, crashed_at_by_incarnation, explained):
    """Return whether other crashes in the same period leave the suspect as the cause.

    How often others end says little on a whole request: what counts is that all its
    runs ended so, as a completed one voids those before it.
    """
    is_request = not item.suspect.breadth
    if is_request and item.early_crash_count >= CERTAIN_EARLY_CRASH_COUNT:
        return True
    share = item.explained_share(crashed_at_by_incarnation, explained)
    return share >= _min_explained_share(_weighted_crash_count(item))


def _weighted_crash_count(item):
    """Return the number of crashes; those in the middle of an answer weigh less.

    The longer a sound answer takes, the more often its upstream ends meanwhile.
    """
    answering_count = item.crash_count - item.early_crash_count
    return item.early_crash_count + answering_count // ANSWERING_CRASHES_PER_EARLY_ONE


def _min_explained_share(crash_count):
    """Return the share that a suspect with so many crashes must explain."""
    for count, share in MIN_EXPLAINED_SHARES:
        if crash_count >= count:
            return share
    return inf


def _is_better(other, item):
    """Return whether `other` explains crashes of `item` and is the likelier cause."""
    return other.has_repeat and other.overlaps(item) and other.order < item.order


def _is_rival(other, item):
    """Return whether further crashes may show `other` to be the cause.

    Suspects that were in the same runs are told apart by further crashes too, but
    rejecting the narrowest one affects no request that was not suspected anyway.
    """
    return (
        other.overlaps(item)
        and other.crash_count >= item.crash_count
        and other.runs != item.runs
    )
