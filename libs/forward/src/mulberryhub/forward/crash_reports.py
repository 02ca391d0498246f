"""What a router reports of a crash, and the verdicts that follow from the reports."""

from msgspec import structs

from mulberryhub.fleet.records import CrashedRun
from mulberryhub.fleet.suspects import merge

MAX_REPORTED_SUSPECTS = 256  # of one crash


def crash_reports(upstream, runs, suspects, recently_served):
    """Return a Suspect with one crashed run for each suspect of the CutRuns `runs`.

    `suspects` are those known from all crashes. Suspects that were served recently are
    left out, and so are surplus ones, those first that no other crash concerns.
    """
    reports_by_fingerprint = {}
    for run in reversed(runs):
        for item in run.suspects:
            report = _report(upstream, run, item)
            known = reports_by_fingerprint.get(report.fingerprint, report)
            reports_by_fingerprint[report.fingerprint] = merge(known, report)
    reports = [
        report
        for fingerprint, report in reports_by_fingerprint.items()
        if not recently_served.has(fingerprint)
    ]
    reports.sort(key=lambda report: not suspects.get(report.fingerprint).crashed_runs)
    return [
        _with_relapse(report, suspects) for report in reports[:MAX_REPORTED_SUSPECTS]
    ]


def _report(upstream, run, item):
    """Return the Suspect of a RunSuspect with the crash of one run."""
    crashed_run = CrashedRun(
        upstream.id, upstream.started, item.is_repeat, run.request, item.was_answering
    )
    return structs.replace(item.suspect, crashed_runs=[crashed_run])


def _with_relapse(report, suspects):
    """Return a report that counts a crash after the end of a quarantine."""
    if not suspects.is_relapse(report.fingerprint):
        return report
    relapses = suspects.get(report.fingerprint).relapses + 1
    return structs.replace(report, relapses=relapses)


class PendingVerdicts:
    """The suspects that this router reported and on which no verdict was saved yet.

    `save_verdict(suspect)` stores a verdict for routers that start later.
    """

    __slots__ = ("_suspects", "_save_verdict", "_fingerprints")

    def __init__(self, suspects, save_verdict):
        self._suspects = suspects
        self._save_verdict = save_verdict
        self._fingerprints = set()

    def add(self, fingerprints):
        """Add the fingerprints of reported suspects."""
        self._fingerprints.update(fingerprints)

    def save(self):
        """Save verdicts that have been reached; drop suspects that were cleared."""
        for fingerprint in list(self._fingerprints):
            suspect = self._suspects.get(fingerprint)
            if self._suspects.is_quarantined(fingerprint):
                self._save_verdict(suspect)
                self._fingerprints.discard(fingerprint)
            elif not suspect.crashed_runs:
                self._fingerprints.discard(fingerprint)
