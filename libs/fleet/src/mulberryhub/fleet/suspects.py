"""Requests under which upstreams ended, as all routers together know them.

Which upstreams ended under a request adds up, whoever tells it and in whatever order.
Where an upstream has run the request to a good end, a new round begins, in which
nothing speaks against it.
"""

from collections import OrderedDict

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import Suspect

MOST_SUSPECTS = 2_000
MOST_ENDED = 8  # runs that are kept of one request
KEPT_TIME = 600_000  # ms without news after which a suspect is forgotten

log = module_logger(__name__)


class Entry:
    """A Suspect, with the ms at which its round began and something new was learned."""

    __slots__ = ("suspect", "began_at", "learned_at")

    def __init__(self, suspect, began_at, learned_at):
        self.suspect = suspect
        self.began_at = began_at
        self.learned_at = learned_at


class Suspects:
    """Suspects by fingerprint, those first of which nothing new was heard longest."""

    __slots__ = ("_clock", "_entries_by_fingerprint")

    def __init__(self, clock):
        self._clock = clock
        self._entries_by_fingerprint = OrderedDict()

    def __len__(self):
        return len(self._entries_by_fingerprint)

    def get(self, fingerprint):
        """Return the Suspect of a fingerprint, one without ended runs if unknown."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or self._is_over(entry):
            return Suspect(fingerprint)
        return entry.suspect

    def known_for(self, fingerprint):
        """Return the ms since an upstream was known to have ended, None if none is."""
        if not self.get(fingerprint).ended:
            return None
        entry = self._entries_by_fingerprint[fingerprint]
        return self._clock.now() - entry.began_at

    def learn(self, suspect):
        """Take what is told of a suspect.

        Return all that is known of it then, or None where that is nothing new.
        """
        known = self.get(suspect.fingerprint)
        merged = merge(known, suspect)
        if merged is known:
            return None
        now = self._clock.now()
        before = self._entries_by_fingerprint.get(suspect.fingerprint)
        goes_on = known.ended and merged.round == known.round
        began_at = before.began_at if goes_on else now
        self._entries_by_fingerprint[suspect.fingerprint] = Entry(merged, began_at, now)
        self._entries_by_fingerprint.move_to_end(suspect.fingerprint)
        _log(known, merged)
        return merged

    def learn_verdict(self, verdict):
        """Take a Verdict like a Suspect, unless its time is over."""
        if self._clock.wall() - verdict.at >= KEPT_TIME:
            return None
        return self.learn(verdict.suspect)

    def drop_old(self):
        """Forget what is over or too much; return the fingerprints."""
        dropped = []
        for fingerprint, entry in self._entries_by_fingerprint.items():
            excess = len(self) - len(dropped) - MOST_SUSPECTS
            if excess <= 0 and not self._is_over(entry):
                break
            dropped.append(fingerprint)
        for fingerprint in dropped:
            del self._entries_by_fingerprint[fingerprint]
        return dropped

    def _is_over(self, entry):
        return self._clock.now() - entry.learned_at >= KEPT_TIME


def merge(known, told):
    """Return what two Suspects of one request say together, one of them if it does."""
    if told.round != known.round:
        return max(known, told, key=lambda suspect: suspect.round)
    runs = {}
    for run in (*known.ended, *told.ended):
        key = (run.upstream, run.started)
        if key not in runs or run.is_repeat:
            runs[key] = run
    ended = sorted(runs.values(), key=_order)[:MOST_ENDED]
    for suspect in (known, told):
        if sorted(suspect.ended, key=_order) == ended:
            return suspect
    return Suspect(known.fingerprint, known.round, ended)


def _order(run):
    return (not run.is_repeat, run.upstream, run.started)


def _log(known, merged):
    if merged.is_condemned and not known.is_condemned:
        log.warning(
            "request quarantined",
            fingerprint=merged.fingerprint,
            upstreams=[run.upstream for run in merged.ended],
        )
    elif known.is_condemned and not merged.is_condemned:
        log.warning("request released", fingerprint=merged.fingerprint)
    else:
        log.info(
            "request suspected",
            fingerprint=merged.fingerprint,
            upstreams=[run.upstream for run in merged.ended],
            round=merged.round,
        )
