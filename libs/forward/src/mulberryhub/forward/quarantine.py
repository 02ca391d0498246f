"""Keeps requests that end the upstreams which run them from ending more.

An upstream that cuts an answer may have ended, and the request may have ended it. So
what ran there is noted once it is sure that the upstream ended by itself: nobody
listens at its address, or the store no longer lists this incarnation. All routers add
up what each of them saw, see `fleet.suspects`.
"""

from collections import OrderedDict, deque
from math import inf

from mulberryhub.base.digest import placement_score
from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import EndedRun, State, Suspect
from mulberryhub.forward.refusal import Reason, Refusal

GATHERING = 20  # ms in which the runs that an upstream cut are gathered
DIAL_TIMEOUT = 300  # ms
MOMENT = 500  # ms in which upstreams may end together, for another reason
SERVED_TIME = 1_500  # ms for which a request that was served is above suspicion
MOST_SERVED = 4_096  # requests that are remembered as served
WAITING_TIME = 10_000  # ms in which the store tells that an upstream ended
MOST_BLAMED = 16  # runs that are noted of one upstream, those sent last
MOST_CUT = 256  # runs that are kept of one upstream, those cut last
TURN = 250  # ms that each router leaves to those before it to run a doubtful request
LONGEST_WAIT = 1_000  # ms
WAIT_SHARE = 0.5  # of the time left that a doubtful request may wait

log = module_logger(__name__)


class CutRun:
    """A run whose answer was cut at `cut_at` ms, as known when it was sent."""

    __slots__ = ("suspect", "is_repeat", "sent_at", "cut_at")

    def __init__(self, suspect, is_repeat, sent_at, cut_at):
        self.suspect = suspect
        self.is_repeat = is_repeat
        self.sent_at = sent_at
        self.cut_at = cut_at


class PossibleEnd:
    """An upstream that cut answers lately, and the CutRuns there."""

    __slots__ = ("upstream", "runs", "is_checking")

    def __init__(self, upstream):
        self.upstream = upstream
        self.runs = deque(maxlen=MOST_CUT)
        self.is_checking = False

    def has_run(self, fingerprint, before=inf):
        """Tell whether a request was cut there, at `before` ms or earlier."""
        return any(
            run.suspect.fingerprint == fingerprint and run.cut_at <= before
            for run in self.runs
        )

    def drop_runs(self, fingerprint):
        """Forget the runs of a request."""
        kept = [run for run in self.runs if run.suspect.fingerprint != fingerprint]
        self.runs = deque(kept, MOST_CUT)

    def drop_before(self, oldest):
        """Forget the runs that were cut before `oldest` ms."""
        while self.runs and self.runs[0].cut_at < oldest:
            self.runs.popleft()


class Quarantine:
    """Refuses requests that ended their upstreams; `name` is that of this router.

    `is_refused(address, timeout)` dials and tells whether nobody listens there.
    `save(suspect)` keeps a verdict, or its end, for routers that start later.
    """

    __slots__ = (
        "_name",
        "_beliefs",
        "_is_refused",
        "_save",
        "_clock",
        "_counters",
        "_possible_ends_by_id",
        "_served_at_by_fingerprint",
        "_looked_to",
    )

    def __init__(self, name, beliefs, is_refused, save, clock, counters):
        self._name = name
        self._beliefs = beliefs
        self._is_refused = is_refused
        self._save = save
        self._clock = clock
        self._counters = counters
        self._possible_ends_by_id = {}
        self._served_at_by_fingerprint = OrderedDict()
        self._looked_to = 0
        beliefs.on_change(self._look_at_store)
        beliefs.on_change(self._vouch)

    def check(self, job):
        """Raise Refusal for a request that ended its upstreams.

        One that perhaps did waits for its turn among the routers, as far as its time
        allows, so that one run tells all of them.
        """
        suspect = self._suspect(job)
        if suspect is not None and suspect.ended:
            self._await_checks(suspect.fingerprint)
            suspect = self._suspect(job)
        if suspect is not None and suspect.is_doubtful:
            sleep(self._turn(job) / 1000)
            suspect = self._suspect(job)
        if suspect is not None and suspect.is_condemned:
            raise Refusal(Reason.QUARANTINED)

    def _await_checks(self, fingerprint):
        """Wait until it is known whether the upstreams that cut a suspect ended."""
        while any(
            possible_end.is_checking and possible_end.has_run(fingerprint)
            for possible_end in self._possible_ends_by_id.values()
        ):
            sleep(GATHERING / 1000)

    def note_sent(self, job, attempt):
        """Note on `attempt` what speaks against its request when it is sent."""
        attempt.sent_at = self._clock.now()
        attempt.suspect = self._suspect(job)
        attempt.is_repeat = self._has_ended_others(attempt.suspect)

    def note_cut(self, job, attempt):
        """Note that the upstream of `attempt` cut its answer."""
        upstream = attempt.upstream
        if self._leaves(upstream):
            return
        possible_end = self._possible_ends_by_id.get(upstream.id)
        if possible_end is None or possible_end.upstream.started != upstream.started:
            possible_end = self._possible_ends_by_id[upstream.id] = PossibleEnd(
                upstream
            )
        now = self._clock.now()
        possible_end.drop_before(now - WAITING_TIME)
        suspect = attempt.suspect or Suspect(job.fingerprint)
        run = CutRun(suspect, attempt.is_repeat, attempt.sent_at, now)
        possible_end.runs.append(run)
        if not possible_end.is_checking:
            possible_end.is_checking = True
            spawn_task(self._check_end, possible_end)

    def note_refused(self, upstream):
        """Note that nobody listens at the address of an upstream."""
        possible_end = self._possible_ends_by_id.get(upstream.id)
        if possible_end is not None:
            self._note_ended(possible_end, "refused")

    def note_answered(self, job):
        """Note that an upstream ran the request to a good end."""
        fingerprint = job.fingerprint
        self._note_served(fingerprint)
        if not self._knows_any():
            return
        for possible_end in self._possible_ends_by_id.values():
            possible_end.drop_runs(fingerprint)
        suspect = self._beliefs.suspects.get(fingerprint)
        if suspect.ended:
            self._learn(Suspect(fingerprint, suspect.round + 1))

    def _note_served(self, fingerprint):
        served = self._served_at_by_fingerprint
        served[fingerprint] = self._clock.now()
        served.move_to_end(fingerprint)
        if len(served) > MOST_SERVED:
            served.popitem(last=False)

    def _was_served(self, fingerprint):
        served_at = self._served_at_by_fingerprint.get(fingerprint)
        return served_at is not None and self._clock.now() - served_at <= SERVED_TIME

    def _vouch(self):
        """Begin a new round for suspects that this router has just served."""
        since, self._looked_to = self._looked_to, self._beliefs.revision
        for record in self._beliefs.observations_since(since):
            if not isinstance(record, Suspect) or not record.ended:
                continue
            if self._was_served(record.fingerprint):
                self._learn(Suspect(record.fingerprint, record.round + 1))

    def _knows_any(self):
        return bool(self._possible_ends_by_id or len(self._beliefs.suspects))

    def _suspect(self, job):
        """Return the Suspect that the request is, or None where nobody is suspect."""
        if not self._knows_any():
            return None
        return self._beliefs.suspects.get(job.fingerprint)

    def _has_ended_others(self, suspect):
        """Tell whether an upstream ended under the request before this moment."""
        if suspect is None:
            return False
        known_for = self._beliefs.suspects.known_for(suspect.fingerprint)
        if known_for is not None and known_for >= MOMENT:
            return True
        before = self._clock.now() - MOMENT
        return any(
            possible_end.has_run(suspect.fingerprint, before)
            for possible_end in self._possible_ends_by_id.values()
        )

    def _turn(self, job):
        """Return the ms that a doubtful request waits for other routers' runs of it."""
        seed = job.fingerprint.encode()
        mine = placement_score(seed, self._name.encode())
        place = sum(
            placement_score(seed, name.encode()) > mine
            for name in self._beliefs.members_by_name
        )
        left = max(0, job.end - self._clock.now())
        return min(place * TURN, LONGEST_WAIT, left * WAIT_SHARE)

    def _leaves(self, upstream):
        """Tell whether the end of an upstream has nothing to do with its requests."""
        current = self._beliefs.upstreams_by_id.get(upstream.id)
        is_listed = current is not None and current.state is State.READY
        return not is_listed or self._beliefs.is_departing(upstream)

    def _check_end(self, possible_end):
        address = possible_end.upstream.address
        try:
            sleep(GATHERING / 1000)
            is_refused = self._is_refused(address, DIAL_TIMEOUT)
        finally:
            possible_end.is_checking = False
        if is_refused:
            self._note_ended(possible_end, "refused")

    def _look_at_store(self):
        """Take what the store tells of the upstreams that may have ended."""
        oldest = self._clock.now() - WAITING_TIME
        for possible_end in list(self._possible_ends_by_id.values()):
            upstream = possible_end.upstream
            current = self._beliefs.upstreams_by_id.get(upstream.id)
            possible_end.drop_before(oldest)
            if not possible_end.runs:
                self._forget(possible_end)
            elif current is None:
                self._note_ended(possible_end, "removed")
            elif current.started > upstream.started:
                self._note_ended(possible_end, "restarted")
            elif self._leaves(upstream):
                self._forget(possible_end)

    def _forget(self, possible_end):
        """Drop a possible end; return whether it was still there."""
        id = possible_end.upstream.id
        if self._possible_ends_by_id.get(id) is not possible_end:
            return False
        del self._possible_ends_by_id[id]
        return True

    def _note_ended(self, possible_end, evidence):
        """Tell all routers what ran at an upstream that has ended."""
        if not self._forget(possible_end):
            return
        possible_end.drop_before(self._clock.now() - WAITING_TIME)
        runs = sorted(possible_end.runs, key=lambda run: run.sent_at)[-MOST_BLAMED:]
        if not runs:
            return
        upstream = possible_end.upstream
        self._counters.add("upstream.ended")
        log.info(
            "upstream ended",
            upstream=upstream.id,
            started=upstream.started,
            evidence=evidence,
            after_ms=self._clock.now() - possible_end.runs[-1].cut_at,
            fingerprints=[run.suspect.fingerprint for run in runs],
        )
        for run in runs:
            ended = EndedRun(upstream.id, upstream.started, run.is_repeat)
            suspect = run.suspect
            self._learn(Suspect(suspect.fingerprint, suspect.round, [ended]))

    def _learn(self, suspect):
        """Take what this router saw; save it where it makes or ends a verdict."""
        suspects = self._beliefs.suspects
        before = suspects.get(suspect.fingerprint)
        self._beliefs.learn(suspect)
        after = suspects.get(suspect.fingerprint)
        if after is not before and (after.is_condemned or before.is_condemned):
            self._save(after)
