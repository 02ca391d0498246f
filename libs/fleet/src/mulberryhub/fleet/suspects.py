"""Requests and prompt parts with which upstreams ended, as all routers report them.

Reports on a suspect merge in any order and from any router. When an upstream completes
a request with it, a new round begins without any crashed runs. Which suspects are to
blame follows from all of them together, see `fleet.blame`.
"""

from collections import OrderedDict

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.blame import Verdicts, find_verdicts
from mulberryhub.fleet.records import Suspect

MAX_SUSPECT_COUNT = 2_000  # of those that are not quarantined, and of those that are
MAX_CRASHED_RUN_COUNT = 16  # kept per suspect
MAX_CRASH_COUNT = 1_024  # whose time is kept
SUSPECT_RETENTION_MS = 600_000  # without a new report
VERDICT_SAVING_MS = 10_000  # by when a verdict has been saved
QUARANTINE_MS = 600_000  # since the last crash
RELAPSE_FACTOR = 6  # by which each relapse lengthens the next quarantine
MAX_QUARANTINE_MS = 172_800_000
CHECK_INTERVAL_MS = 50  # while a verdict is open
MIN_LOGGED_RUN_COUNT = 2  # crashed runs; a single one is shared by many bystanders

log = module_logger(__name__)


class SuspectEntry:
    """A Suspect, with the ms of its round's start and of its last change."""

    __slots__ = ("suspect", "round_started_at", "updated_at")

    def __init__(self, suspect, round_started_at, updated_at):
        self.suspect = suspect
        self.round_started_at = round_started_at
        self.updated_at = updated_at


class Suspects:
    """Suspects by fingerprint, the least recently changed first.

    A quarantine ends some time after the last crash, but its evidence is kept, so that
    the next crash begins another one at once. `revision` grows with each change.
    """

    __slots__ = (
        "revision",
        "_clock",
        "_entries_by_fingerprint",
        "_crashed_at_by_incarnation",
        "_verdicts",
        "_verdicts_due_at",
        "_read_verdicts",
    )

    def __init__(self, clock):
        self.revision = 0
        self._clock = clock
        self._entries_by_fingerprint = OrderedDict()
        self._crashed_at_by_incarnation = OrderedDict()
        self._verdicts = Verdicts()
        self._verdicts_due_at = None
        self._read_verdicts = {}

    def __len__(self):
        return len(self._entries_by_fingerprint)

    def get(self, fingerprint):
        """Return the Suspect of a fingerprint, one without crashed runs if unknown."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or self._is_expired(entry):
            return Suspect(fingerprint)
        return entry.suspect

    def is_quarantined(self, fingerprint):
        """Return whether no upstream may run requests with this suspect."""
        self.update_verdicts()
        return fingerprint in self._verdicts.blamed and not self._is_over(fingerprint)

    def is_inconclusive(self, fingerprint):
        """Return whether a suspect has enough crashed runs, but is not to blame yet."""
        self.update_verdicts()
        return fingerprint in self._verdicts.open

    def is_relapse(self, fingerprint):
        """Return whether a crash now would follow the end of a quarantine."""
        self.update_verdicts()
        return fingerprint in self._verdicts.blamed and self._is_over(fingerprint)

    def quarantined(self):
        """Return the Suspects that are quarantined."""
        self.update_verdicts()
        return [
            self.get(fingerprint)
            for fingerprint in self._verdicts.blamed
            if not self._is_over(fingerprint)
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
        self.revision += 1
        now = self._clock.now()
        old_entry = self._entries_by_fingerprint.get(suspect.fingerprint)
        is_same_round = known.crashed_runs and merged.round == known.round
        round_started_at = old_entry.round_started_at if is_same_round else now
        self._entries_by_fingerprint[suspect.fingerprint] = SuspectEntry(
            merged, round_started_at, now
        )
        self._entries_by_fingerprint.move_to_end(suspect.fingerprint)
        self._record_crashes(merged)
        if known.has_enough_crashed_runs or merged.has_enough_crashed_runs:
            self._verdicts_due_at = now
        if len(merged.crashed_runs) >= MIN_LOGGED_RUN_COUNT:
            log.info("request suspected", **_log_fields(merged), round=merged.round)
        return merged

    def apply_verdict(self, verdict):
        """Merge a Verdict like a Suspect, unless it is over; it stands as it is.

        It stands also if its evidence is known already. If it is read once more, it
        may have been overruled since.
        """
        suspect = verdict.suspect
        if self._clock.wall() - verdict.at >= quarantine_duration(suspect):
            return None
        merged = self.apply(suspect)
        known = self.get(suspect.fingerprint)
        is_current = known.round == suspect.round and known.has_enough_crashed_runs
        is_new = suspect != self._read_verdicts.get(suspect.fingerprint)
        self._read_verdicts[suspect.fingerprint] = suspect
        if is_current and (is_new or merged is not None):
            self._set_verdicts(
                Verdicts(
                    self._verdicts.blamed | {suspect.fingerprint}, self._verdicts.open
                )
            )
        return merged

    def apply_saved(self, saved):
        """Merge SavedSuspects unless they are too old; return what is new in them."""
        if self._clock.wall() - saved.at >= SUSPECT_RETENTION_MS:
            return []
        merged = [self.apply(suspect) for suspect in saved.suspects]
        return [suspect for suspect in merged if suspect is not None]

    def undecided(self, max_count):
        """Return the Suspects on which no verdict was saved yet, at most `max_count`.

        They are those with most crashed runs. A prompt part with a single one is left
        out: each crash has many of them.
        """
        entries = [
            entry
            for entry in self._entries_by_fingerprint.values()
            if len(entry.suspect.crashed_runs) > (1 if entry.suspect.breadth else 0)
            and not self._is_decided(entry)
            and not self._is_expired(entry)
        ]
        entries.sort(key=lambda entry: -entry.updated_at)
        entries.sort(key=lambda entry: -len(entry.suspect.crashed_runs))
        return [entry.suspect for entry in entries[:max_count]]

    def update_verdicts(self):
        """Find again who is to blame, if reports or their age may change that."""
        now = self._clock.now()
        if self._verdicts_due_at is None or now < self._verdicts_due_at:
            return
        candidates = [
            entry.suspect
            for entry in self._entries_by_fingerprint.values()
            if entry.suspect.has_enough_crashed_runs and not self._is_expired(entry)
        ]
        verdicts = find_verdicts(
            candidates, self._crashed_at_by_incarnation, self._verdicts.blamed, now
        )
        self._verdicts_due_at = now + CHECK_INTERVAL_MS if verdicts.open else None
        self._set_verdicts(verdicts)

    def drop_expired(self):
        """Drop expired and surplus suspects; return their fingerprints."""
        dropped = [
            fingerprint
            for fingerprint, entry in self._entries_by_fingerprint.items()
            if self._is_expired(entry)
        ]
        for is_blamed in (False, True):
            kept = [
                fingerprint
                for fingerprint, entry in self._entries_by_fingerprint.items()
                if (fingerprint in self._verdicts.blamed) is is_blamed
                and not self._is_expired(entry)
            ]
            dropped += kept[: max(0, len(kept) - MAX_SUSPECT_COUNT)]
        for fingerprint in dropped:
            del self._entries_by_fingerprint[fingerprint]
            self._read_verdicts.pop(fingerprint, None)
        if not self._verdicts.blamed.isdisjoint(dropped):
            self._verdicts_due_at = self._clock.now()
        return dropped

    def _record_crashes(self, suspect):
        crashes = self._crashed_at_by_incarnation
        for run in suspect.crashed_runs:
            crashes.setdefault(run.incarnation, self._clock.now())
        while len(crashes) > MAX_CRASH_COUNT:
            crashes.popitem(last=False)

    def _is_expired(self, entry):
        retention = SUSPECT_RETENTION_MS
        if entry.suspect.fingerprint in self._verdicts.blamed:
            retention = MAX_QUARANTINE_MS
        return self._clock.now() - entry.updated_at >= retention

    def _is_decided(self, entry):
        """Return whether a verdict on the suspect must have been saved by now."""
        return (
            entry.suspect.fingerprint in self._verdicts.blamed
            and self._clock.now() - entry.updated_at >= VERDICT_SAVING_MS
        )

    def _is_over(self, fingerprint):
        """Return whether the last crash is too long ago for a quarantine."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return entry is None or (
            self._clock.now() - entry.updated_at >= quarantine_duration(entry.suspect)
        )

    def _set_verdicts(self, verdicts):
        before, self._verdicts = self._verdicts, verdicts
        for fingerprint in sorted(verdicts.blamed - before.blamed):
            log.warning("request quarantined", **_log_fields(self.get(fingerprint)))
        for fingerprint in sorted(before.blamed - verdicts.blamed):
            log.warning("request released", fingerprint=fingerprint)


def quarantine_duration(suspect):
    """Return the ms from the last crash to the end of a quarantine."""
    duration = QUARANTINE_MS * RELAPSE_FACTOR ** min(suspect.relapses, 4)
    return min(duration, MAX_QUARANTINE_MS)


def merge(known, other):
    """Return the union of two Suspects with one fingerprint.

    Its runs are in a fixed order. If the result equals one of them, that object is
    returned, which is `known` if both do.
    """
    newest_round = max(known.round, other.round)
    current = [item for item in (known, other) if item.round == newest_round]
    merged = Suspect(
        known.fingerprint,
        newest_round,
        _merge_runs(run for suspect in current for run in suspect.crashed_runs),
        max(suspect.breadth for suspect in current),
        max(suspect.relapses for suspect in current),
    )
    return next((item for item in (known, other) if item == merged), merged)


def _log_fields(suspect):
    return {
        "fingerprint": suspect.fingerprint,
        "of": "prompt part" if suspect.breadth else "request",
        "upstreams": [run.upstream for run in suspect.crashed_runs],
    }


def _merge_runs(runs):
    """Return one run at each upstream incarnation, in order and bounded in number."""
    runs_by_incarnation = {}
    for run in runs:
        known = runs_by_incarnation.get(run.incarnation, run)
        runs_by_incarnation[run.incarnation] = min(known, run, key=_run_order)
    return sorted(runs_by_incarnation.values(), key=_run_order)[:MAX_CRASHED_RUN_COUNT]


def _run_order(run):
    return (
        not run.is_repeat,
        run.upstream,
        run.started,
        run.request,
        run.was_answering,
    )
