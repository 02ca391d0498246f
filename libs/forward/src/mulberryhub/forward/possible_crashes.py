"""Upstreams that recently cut answers, which may or may not have ended."""

from collections import deque
from math import inf

MAX_CUT_RUNS = 256  # kept of one upstream, those cut last


class RunSuspect:
    """A suspect of a run, as known when the run was sent.

    `is_repeat` is set if it was then known to have crashed an upstream before, and
    `was_answering` if its answer had been going on for a while when it was cut.
    """

    __slots__ = ("suspect", "is_repeat", "was_answering")

    def __init__(self, suspect, is_repeat=False, was_answering=False):
        self.suspect = suspect
        self.is_repeat = is_repeat
        self.was_answering = was_answering


class CutRun:
    """A run whose answer was cut at `cut_at` ms, with its RunSuspects.

    `request` is the fingerprint of the request, `sent_at` the ms at which it was sent.
    """

    __slots__ = ("request", "suspects", "sent_at", "cut_at")

    def __init__(self, request, suspects, sent_at, cut_at):
        self.request = request
        self.suspects = suspects
        self.sent_at = sent_at
        self.cut_at = cut_at

    def has(self, fingerprint):
        """Return whether the run has the suspect with this fingerprint."""
        return any(item.suspect.fingerprint == fingerprint for item in self.suspects)

    def drop(self, fingerprint):
        """Drop the suspect with this fingerprint."""
        self.suspects = [
            item for item in self.suspects if item.suspect.fingerprint != fingerprint
        ]


class PossibleCrash:
    """An upstream that recently cut answers, with the CutRuns concerned."""

    __slots__ = ("upstream", "runs", "is_checking")

    def __init__(self, upstream):
        self.upstream = upstream
        self.runs = deque(maxlen=MAX_CUT_RUNS)
        self.is_checking = False

    def has_run(self, fingerprint, before=inf):
        """Return whether a run with a suspect was cut there by the ms `before`."""
        return any(run.cut_at <= before and run.has(fingerprint) for run in self.runs)

    def drop_suspect(self, fingerprint):
        """Drop a suspect from all runs."""
        for run in self.runs:
            run.drop(fingerprint)

    def drop_before(self, oldest):
        """Drop the runs that were cut before the time `oldest` (ms)."""
        while self.runs and self.runs[0].cut_at < oldest:
            self.runs.popleft()
