"""Requests during which upstreams ended, merged from the reports of all routers.

Reports on a request merge in any order and from any router. When an upstream completes
the request, a new round begins without any crashed runs.
"""

from collections import OrderedDict

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import Suspect

MAX_SUSPECT_COUNT = 2_000
MAX_CRASHED_RUN_COUNT = 8  # kept per request
SUSPECT_RETENTION_MS = 600_000  # without a new report

log = module_logger(__name__)


class SuspectEntry:
    """A Suspect, with the ms of its round's start and of its last change."""

    __slots__ = ("suspect", "round_started_at", "updated_at")

    def __init__(self, suspect, round_started_at, updated_at):
        self.suspect = suspect
        self.round_started_at = round_started_at
        self.updated_at = updated_at


class Suspects:
    """Suspects by fingerprint, the least recently changed first."""

    __slots__ = ("_clock", "_entries_by_fingerprint")

    def __init__(self, clock):
        self._clock = clock
        self._entries_by_fingerprint = OrderedDict()

    def __len__(self):
        return len(self._entries_by_fingerprint)

    def get(self, fingerprint):
        """Return the Suspect of a fingerprint, one without crashed runs if unknown."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or self._is_expired(entry):
            return Suspect(fingerprint)
        return entry.suspect

    def quarantined(self):
        """Return the Suspects that are quarantined."""
        return [
            entry.suspect
            for entry in self._entries_by_fingerprint.values()
            if entry.suspect.is_quarantined and not self._is_expired(entry)
        ]

    def time_since_first_crash(self, fingerprint):
        """Return the ms since the first known crashed run, or None without any."""
        if not self.get(fingerprint).crashed_runs:
            return None
        entry = self._entries_by_fingerprint[fingerprint]
        return self._clock.now() - entry.round_started_at

    def apply(self, suspect):
        """Merge a report on a suspect.

        Return the merged Suspect, or None if the report has nothing new.
        """
        known = self.get(suspect.fingerprint)
        merged = merge(known, suspect)
        if merged is known:
            return None
        now = self._clock.now()
        old_entry = self._entries_by_fingerprint.get(suspect.fingerprint)
        is_same_round = known.crashed_runs and merged.round == known.round
        round_started_at = old_entry.round_started_at if is_same_round else now
        self._entries_by_fingerprint[suspect.fingerprint] = SuspectEntry(
            merged, round_started_at, now
        )
        self._entries_by_fingerprint.move_to_end(suspect.fingerprint)
        _log_change(known, merged)
        return merged

    def apply_verdict(self, verdict):
        """Merge a Verdict like a Suspect, unless it has expired."""
        if self._clock.wall() - verdict.at >= SUSPECT_RETENTION_MS:
            return None
        return self.apply(verdict.suspect)

    def drop_expired(self):
        """Drop expired and surplus suspects; return their fingerprints."""
        dropped = []
        for fingerprint, entry in self._entries_by_fingerprint.items():
            excess = len(self) - len(dropped) - MAX_SUSPECT_COUNT
            if excess <= 0 and not self._is_expired(entry):
                break
            dropped.append(fingerprint)
        for fingerprint in dropped:
            del self._entries_by_fingerprint[fingerprint]
        return dropped

    def _is_expired(self, entry):
        return self._clock.now() - entry.updated_at >= SUSPECT_RETENTION_MS


def merge(known, other):
    """Return the union of two Suspects of one request.

    If the result equals one of them, that object is returned.
    """
    if other.round != known.round:
        return max(known, other, key=lambda suspect: suspect.round)
    runs = {}
    for run in (*known.crashed_runs, *other.crashed_runs):
        key = (run.upstream, run.started)
        if key not in runs or run.is_repeat:
            runs[key] = run
    crashed_runs = sorted(runs.values(), key=_run_order)[:MAX_CRASHED_RUN_COUNT]
    for suspect in (known, other):
        if sorted(suspect.crashed_runs, key=_run_order) == crashed_runs:
            return suspect
    return Suspect(known.fingerprint, known.round, crashed_runs)


def _run_order(run):
    return (not run.is_repeat, run.upstream, run.started)


def _log_change(known, merged):
    if merged.is_quarantined and not known.is_quarantined:
        log.warning(
            "request quarantined",
            fingerprint=merged.fingerprint,
            upstreams=[run.upstream for run in merged.crashed_runs],
        )
    elif known.is_quarantined and not merged.is_quarantined:
        log.warning("request released", fingerprint=merged.fingerprint)
    else:
        log.info(
            "request suspected",
            fingerprint=merged.fingerprint,
            upstreams=[run.upstream for run in merged.crashed_runs],
            round=merged.round,
        )
