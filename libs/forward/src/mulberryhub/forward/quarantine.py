"""Refuses requests that crash the upstreams that run them.

An upstream that cuts an answer may have crashed, and the request may be the cause, or a
part of its prompt that other requests share. What ran there is recorded once it is
certain that the upstream ended unplanned: connections to its address are refused, or
the store no longer lists this incarnation. The records of all routers are merged, see
`fleet.suspects`.
"""

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.blame import SETTLE_MS
from mulberryhub.fleet.incarnations import is_later
from mulberryhub.fleet.records import Suspect, UpstreamState
from mulberryhub.forward.crash_reports import PendingVerdicts, crash_reports
from mulberryhub.forward.possible_crashes import CutRun, PossibleCrash, RunSuspect
from mulberryhub.forward.recently_served import RecentlyServed
from mulberryhub.forward.refusal import Reason, Refusal

CHECK_DELAY_MS = 20  # in which the runs that an upstream cut are collected
CONNECT_TIMEOUT_MS = 300
COINCIDENCE_MS = 500  # in which upstreams may end together for another reason
MAX_ANSWERING_MS = 500  # after which a cut answer says nothing on its prompt's parts
REMOVAL_WAIT_MS = 10_000  # in which the store reports that an upstream ended
MAX_REPORTED_RUNS = 16  # of one upstream, those sent last
TURN_MS = 250  # head start over the next router for an inconclusive request
MAX_TURN_WAIT_MS = 1_000
MAX_TURN_WAIT_SHARE = 0.5  # of the time left

log = module_logger(__name__)


class Quarantine:
    """Refuses requests that crashed their upstreams.

    `name` is that of this router. `is_refused(address, timeout)` returns whether a
    connection to `address` is refused. `save_verdict(suspect)` stores a verdict, or its
    end, for routers that start later.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_is_refused",
        "_save_verdict",
        "_clock",
        "_counters",
        "_possible_crashes_by_id",
        "_recently_served",
        "_pending_verdicts",
        "_seen_revision",
    )

    def __init__(self, name, fleet_state, is_refused, save_verdict, clock, counters):
        self._name = name
        self._fleet_state = fleet_state
        self._is_refused = is_refused
        self._save_verdict = save_verdict
        self._clock = clock
        self._counters = counters
        self._possible_crashes_by_id = {}
        self._recently_served = RecentlyServed(clock)
        self._pending_verdicts = PendingVerdicts(fleet_state.suspects, save_verdict)
        self._seen_revision = 0
        fleet_state.on_change(self._check_listed)
        fleet_state.on_change(self._clear_served_suspects)
        fleet_state.on_change(self._pending_verdicts.save)

    def check(self, job):
        """Raise Refusal for a request that crashed its upstreams, or has such a part.

        A request that may have done so is first delayed, as far as its deadline allows.
        The delay differs by router, so that routers run such requests in turn and the
        outcome of one run is known to all of them before the next. It is not repeated
        at another upstream.
        """
        if not self._has_records():
            return
        self._await_checks(job)
        fingerprint = self._inconclusive_fingerprint(job)
        if fingerprint is not None and not self._is_quarantined(job):
            if job.runs:
                raise Refusal(Reason.QUARANTINED)
            sleep(self._turn_wait(job, fingerprint) / 1000)
        if self._is_quarantined(job):
            raise Refusal(Reason.QUARANTINED)

    def _await_checks(self, job):
        """Wait until all pending crash checks that concern known suspects are done."""
        suspects = self._fleet_state.suspects
        crashed = [item for item in job.fingerprints if suspects.get(item).crashed_runs]
        while crashed and any(
            possible_crash.is_checking and possible_crash.has_run(fingerprint)
            for possible_crash in self._possible_crashes_by_id.values()
            for fingerprint in crashed
        ):
            sleep(CHECK_DELAY_MS / 1000)

    def _is_quarantined(self, job):
        is_quarantined = self._fleet_state.suspects.is_quarantined
        return any(is_quarantined(fingerprint) for fingerprint in job.fingerprints)

    def _inconclusive_fingerprint(self, job):
        """Return the first fingerprint that may yet be blamed for crashes, or None."""
        is_inconclusive = self._fleet_state.suspects.is_inconclusive
        return next(filter(is_inconclusive, job.fingerprints), None)

    def record_sent(self, job, attempt):
        """Set on `attempt` what is known of its request when it is sent."""
        attempt.sent_at = self._clock.now()
        if self._has_records():
            attempt.suspects = [
                RunSuspect(self._suspect(job, breadth), self._is_repeat(fingerprint))
                for breadth, fingerprint in enumerate(job.fingerprints)
            ]

    def record_cut_answer(self, job, attempt):
        """Record that the upstream of `attempt` cut its answer."""
        upstream = attempt.upstream
        if self._is_leaving(upstream):
            return
        possible_crash = self._possible_crashes_by_id.get(upstream.id)
        if (
            possible_crash is None
            or possible_crash.upstream.started != upstream.started
        ):
            possible_crash = self._possible_crashes_by_id[upstream.id] = PossibleCrash(
                upstream
            )
        now = self._clock.now()
        possible_crash.drop_before(now - REMOVAL_WAIT_MS)
        suspects = self._suspects_of_attempt(job, attempt)
        run = CutRun(job.fingerprint, suspects, attempt.sent_at, now)
        possible_crash.runs.append(run)
        if not possible_crash.is_checking:
            possible_crash.is_checking = True
            spawn_task(self._check_crash, possible_crash)

    def _suspects_of_attempt(self, job, attempt):
        """Return the RunSuspects of an attempt whose answer was cut.

        A prompt part crashes upstreams as they begin to answer, so the parts of an
        answer that had gone on for a while are no suspects. The request as a whole
        remains one, by weaker evidence.
        """
        suspects = attempt.suspects
        if suspects is None:
            suspects = [
                RunSuspect(Suspect(fingerprint, breadth=breadth))
                for breadth, fingerprint in enumerate(job.fingerprints)
            ]
        answered_at = attempt.answered_at
        if (
            answered_at is not None
            and self._clock.now() - answered_at > MAX_ANSWERING_MS
        ):
            request = suspects[0]
            return [RunSuspect(request.suspect, request.is_repeat, was_answering=True)]
        return suspects

    def record_connect_refused(self, upstream):
        """Record that an upstream refused a connection."""
        possible_crash = self._possible_crashes_by_id.get(upstream.id)
        if possible_crash is not None:
            self._record_crash(possible_crash, "refused")

    def record_served(self, job):
        """Record that an upstream completed the request."""
        has_records = self._has_records()
        for fingerprint in job.fingerprints:
            self._recently_served.add(fingerprint)
            if has_records:
                self._clear(fingerprint)

    def _clear(self, fingerprint):
        for possible_crash in self._possible_crashes_by_id.values():
            possible_crash.drop_suspect(fingerprint)
        suspect = self._fleet_state.suspects.get(fingerprint)
        if suspect.crashed_runs:
            self._begin_round(suspect)

    def _begin_round(self, suspect):
        """Void the crashed runs of a suspect; save the end of its verdict, if any."""
        was_quarantined = self._fleet_state.suspects.is_quarantined(suspect.fingerprint)
        cleared = Suspect(
            suspect.fingerprint, suspect.round + 1, breadth=suspect.breadth
        )
        self._fleet_state.apply(cleared)
        if was_quarantined:
            self._save_verdict(cleared)

    def _clear_served_suspects(self):
        """Begin a new round for suspects that this router recently served."""
        since, self._seen_revision = self._seen_revision, self._fleet_state.revision
        for record in self._fleet_state.observations_since(since):
            if not isinstance(record, Suspect) or not record.crashed_runs:
                continue
            if self._recently_served.has(record.fingerprint):
                self._begin_round(record)

    def _has_records(self):
        return bool(self._possible_crashes_by_id or len(self._fleet_state.suspects))

    def _suspect(self, job, breadth):
        """Return the Suspect of a fingerprint of the request, without its crashes."""
        fingerprint = job.fingerprints[breadth]
        round = self._fleet_state.suspects.get(fingerprint).round
        return Suspect(fingerprint, round, breadth=breadth)

    def _is_repeat(self, fingerprint):
        """Return whether requests were cut, or crashed an upstream, before.

        The last COINCIDENCE_MS are ignored, as upstreams may have ended together for
        another reason.
        """
        time_since_first_crash = self._fleet_state.suspects.time_since_first_crash(
            fingerprint
        )
        if (
            time_since_first_crash is not None
            and time_since_first_crash >= COINCIDENCE_MS
        ):
            return True
        before = self._clock.now() - COINCIDENCE_MS
        return any(
            possible_crash.has_run(fingerprint, before)
            for possible_crash in self._possible_crashes_by_id.values()
        )

    def _turn_wait(self, job, fingerprint):
        """Return the time in ms by which this router delays an inconclusive request."""
        seed = fingerprint.encode()
        own_score = rendezvous_score(seed, self._name.encode())
        position = sum(
            rendezvous_score(seed, name.encode()) > own_score
            for name in self._fleet_state.members_by_name
        )
        time_left = max(0, job.deadline - self._clock.now())
        return min(
            SETTLE_MS + position * TURN_MS,
            MAX_TURN_WAIT_MS,
            time_left * MAX_TURN_WAIT_SHARE,
        )

    def _is_leaving(self, upstream):
        """Return whether the end of an upstream is planned."""
        current = self._fleet_state.upstreams_by_id.get(upstream.id)
        is_listed = current is not None and current.state is UpstreamState.READY
        return not is_listed or self._fleet_state.is_shutting_down(upstream)

    def _check_crash(self, possible_crash):
        address = possible_crash.upstream.address
        try:
            sleep(CHECK_DELAY_MS / 1000)
            is_refused = self._is_refused(address, CONNECT_TIMEOUT_MS)
        finally:
            possible_crash.is_checking = False
        if is_refused:
            self._record_crash(possible_crash, "refused")

    def _check_listed(self):
        """Check possible crashes against the upstreams that the store lists."""
        oldest = self._clock.now() - REMOVAL_WAIT_MS
        for possible_crash in list(self._possible_crashes_by_id.values()):
            upstream = possible_crash.upstream
            current = self._fleet_state.upstreams_by_id.get(upstream.id)
            possible_crash.drop_before(oldest)
            if not possible_crash.runs:
                self._forget(possible_crash)
            elif current is None:
                self._record_crash(possible_crash, "removed")
            elif is_later(current, upstream):
                self._record_crash(possible_crash, "restarted")
            elif self._is_leaving(upstream):
                self._forget(possible_crash)

    def _forget(self, possible_crash):
        """Drop a possible crash; return whether it was still recorded."""
        id = possible_crash.upstream.id
        if self._possible_crashes_by_id.get(id) is not possible_crash:
            return False
        del self._possible_crashes_by_id[id]
        return True

    def _record_crash(self, possible_crash, evidence):
        """Share with all routers what ran at a crashed upstream."""
        if not self._forget(possible_crash):
            return
        possible_crash.drop_before(self._clock.now() - REMOVAL_WAIT_MS)
        runs = sorted(possible_crash.runs, key=lambda run: run.sent_at)[
            -MAX_REPORTED_RUNS:
        ]
        if not runs:
            return
        upstream = possible_crash.upstream
        self._counters.add("upstream.ended")
        log.info(
            "upstream ended",
            upstream=upstream.id,
            started=upstream.started,
            evidence=evidence,
            after_ms=self._clock.now() - possible_crash.runs[-1].cut_at,
            fingerprints=[run.request for run in runs],
        )
        suspects = self._fleet_state.suspects
        reports = crash_reports(upstream, runs, suspects, self._recently_served)
        for report in reports:
            self._fleet_state.apply(report)
        self._pending_verdicts.add(report.fingerprint for report in reports)
        spawn_task(self._save_settled_verdicts)

    def _save_settled_verdicts(self):
        sleep((SETTLE_MS + CHECK_DELAY_MS) / 1000)
        self._pending_verdicts.save()
