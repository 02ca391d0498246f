"""Refuses requests that crash the upstreams that run them.

An upstream that cuts an answer may have crashed, and the request may be the cause. The
requests that ran there are recorded once it is certain that the upstream ended
unplanned: connections to its address are refused, or the store no longer lists this
incarnation. The records of all routers are merged, see `fleet.suspects`.
"""

from collections import OrderedDict, deque
from math import inf

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import CrashedRun, Suspect, UpstreamState
from mulberryhub.forward.refusal import Reason, Refusal

CHECK_DELAY_MS = 20  # in which the runs that an upstream cut are collected
CONNECT_TIMEOUT_MS = 300
COINCIDENCE_MS = 500  # in which upstreams may end together for another reason
RECENTLY_SERVED_MS = 1_500  # for which a request that was served is not a suspect
MAX_SERVED_COUNT = 4_096  # requests remembered as served
REMOVAL_WAIT_MS = 10_000  # in which the store reports that an upstream ended
MAX_REPORTED_RUNS = 16  # of one upstream, those sent last
MAX_CUT_RUNS = 256  # kept of one upstream, those cut last
TURN_MS = 250  # head start over the next router for an inconclusive request
MAX_TURN_WAIT_MS = 1_000
MAX_TURN_WAIT_SHARE = 0.5  # of the time left

log = module_logger(__name__)


class CutRun:
    """A run whose answer was cut at `cut_at` ms.

    `suspect` and `is_repeat` are those of the Attempt, as known at `sent_at` ms.
    """

    __slots__ = ("suspect", "is_repeat", "sent_at", "cut_at")

    def __init__(self, suspect, is_repeat, sent_at, cut_at):
        self.suspect = suspect
        self.is_repeat = is_repeat
        self.sent_at = sent_at
        self.cut_at = cut_at


class PossibleCrash:
    """An upstream that recently cut answers, with the CutRuns concerned."""

    __slots__ = ("upstream", "runs", "is_checking")

    def __init__(self, upstream):
        self.upstream = upstream
        self.runs = deque(maxlen=MAX_CUT_RUNS)
        self.is_checking = False

    def has_run(self, fingerprint, before=inf):
        """Return whether a request was cut there by the time `before` (ms)."""
        return any(
            run.suspect.fingerprint == fingerprint and run.cut_at <= before
            for run in self.runs
        )

    def drop_runs(self, fingerprint):
        """Drop the runs of a request."""
        kept = [run for run in self.runs if run.suspect.fingerprint != fingerprint]
        self.runs = deque(kept, MAX_CUT_RUNS)

    def drop_before(self, oldest):
        """Drop the runs that were cut before the time `oldest` (ms)."""
        while self.runs and self.runs[0].cut_at < oldest:
            self.runs.popleft()


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
        "_served_at_by_fingerprint",
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
        self._served_at_by_fingerprint = OrderedDict()
        self._seen_revision = 0
        fleet_state.on_change(self._check_listed)
        fleet_state.on_change(self._clear_served_suspects)

    def check(self, job):
        """Raise Refusal for a request that crashed its upstreams.

        A request that may have done so is first delayed, as far as its deadline allows.
        The delay differs by router, so that routers run such a request in turn and the
        outcome of one run is known to all of them before the next.
        """
        suspect = self._suspect(job)
        if suspect is not None and suspect.crashed_runs:
            self._await_checks(suspect.fingerprint)
            suspect = self._suspect(job)
        if suspect is not None and suspect.is_inconclusive:
            sleep(self._turn_wait(job) / 1000)
            suspect = self._suspect(job)
        if suspect is not None and suspect.is_quarantined:
            raise Refusal(Reason.QUARANTINED)

    def _await_checks(self, fingerprint):
        """Wait until all pending crash checks that concern a request are done."""
        while any(
            possible_crash.is_checking and possible_crash.has_run(fingerprint)
            for possible_crash in self._possible_crashes_by_id.values()
        ):
            sleep(CHECK_DELAY_MS / 1000)

    def record_sent(self, job, attempt):
        """Set on `attempt` what is known of its request when it is sent."""
        attempt.sent_at = self._clock.now()
        attempt.suspect = self._suspect(job)
        attempt.is_repeat = self._is_repeat(attempt.suspect)

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
        suspect = attempt.suspect or Suspect(job.fingerprint)
        run = CutRun(suspect, attempt.is_repeat, attempt.sent_at, now)
        possible_crash.runs.append(run)
        if not possible_crash.is_checking:
            possible_crash.is_checking = True
            spawn_task(self._check_crash, possible_crash)

    def record_connect_refused(self, upstream):
        """Record that an upstream refused a connection."""
        possible_crash = self._possible_crashes_by_id.get(upstream.id)
        if possible_crash is not None:
            self._record_crash(possible_crash, "refused")

    def record_served(self, job):
        """Record that an upstream completed the request."""
        fingerprint = job.fingerprint
        self._remember_served(fingerprint)
        if not self._has_records():
            return
        for possible_crash in self._possible_crashes_by_id.values():
            possible_crash.drop_runs(fingerprint)
        suspect = self._fleet_state.suspects.get(fingerprint)
        if suspect.crashed_runs:
            self._record_suspect(Suspect(fingerprint, suspect.round + 1))

    def _remember_served(self, fingerprint):
        served = self._served_at_by_fingerprint
        served[fingerprint] = self._clock.now()
        served.move_to_end(fingerprint)
        if len(served) > MAX_SERVED_COUNT:
            served.popitem(last=False)

    def _was_served(self, fingerprint):
        served_at = self._served_at_by_fingerprint.get(fingerprint)
        return (
            served_at is not None
            and self._clock.now() - served_at <= RECENTLY_SERVED_MS
        )

    def _clear_served_suspects(self):
        """Begin a new round for suspects that this router recently served."""
        since, self._seen_revision = self._seen_revision, self._fleet_state.revision
        for record in self._fleet_state.observations_since(since):
            if not isinstance(record, Suspect) or not record.crashed_runs:
                continue
            if self._was_served(record.fingerprint):
                self._record_suspect(Suspect(record.fingerprint, record.round + 1))

    def _has_records(self):
        return bool(self._possible_crashes_by_id or len(self._fleet_state.suspects))

    def _suspect(self, job):
        """Return the Suspect of the request, or None without any records."""
        if not self._has_records():
            return None
        return self._fleet_state.suspects.get(job.fingerprint)

    def _is_repeat(self, suspect):
        """Return whether the request was cut, or crashed an upstream, before.

        The last COINCIDENCE_MS are ignored, as upstreams may have ended together for
        another reason.
        """
        if suspect is None:
            return False
        time_since_first_crash = self._fleet_state.suspects.time_since_first_crash(
            suspect.fingerprint
        )
        if (
            time_since_first_crash is not None
            and time_since_first_crash >= COINCIDENCE_MS
        ):
            return True
        before = self._clock.now() - COINCIDENCE_MS
        return any(
            possible_crash.has_run(suspect.fingerprint, before)
            for possible_crash in self._possible_crashes_by_id.values()
        )

    def _turn_wait(self, job):
        """Return the time in ms by which this router delays an inconclusive request."""
        seed = job.fingerprint.encode()
        own_score = rendezvous_score(seed, self._name.encode())
        position = sum(
            rendezvous_score(seed, name.encode()) > own_score
            for name in self._fleet_state.members_by_name
        )
        time_left = max(0, job.deadline - self._clock.now())
        return min(
            position * TURN_MS, MAX_TURN_WAIT_MS, time_left * MAX_TURN_WAIT_SHARE
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
            elif current.started > upstream.started:
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
            fingerprints=[run.suspect.fingerprint for run in runs],
        )
        for run in runs:
            crashed_run = CrashedRun(upstream.id, upstream.started, run.is_repeat)
            suspect = run.suspect
            self._record_suspect(
                Suspect(suspect.fingerprint, suspect.round, [crashed_run])
            )

    def _record_suspect(self, suspect):
        """Record a suspect; save the verdict if it makes or ends one."""
        suspects = self._fleet_state.suspects
        before = suspects.get(suspect.fingerprint)
        self._fleet_state.apply(suspect)
        after = suspects.get(suspect.fingerprint)
        if after is not before and (after.is_quarantined or before.is_quarantined):
            self._save_verdict(after)
