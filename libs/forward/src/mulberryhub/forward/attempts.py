"""Sends a request to upstreams until one answers, within what may be repeated."""

from random import uniform

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.beliefs import Topic
from mulberryhub.fleet.records import Removal
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.delay import is_too_late, stream_patience
from mulberryhub.forward.exchange import Exchange
from mulberryhub.forward.job import LEAST_TIME
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.work import work_of
from mulberryhub.http.messages import (
    AnswerBroken,
    AnswerCut,
    AnswerTimeout,
    ConnectFailed,
    ConnectRefused,
)

MAX_SENDS = 4  # sends of one request, those that did not run included
MAX_DIALS = 4  # upstreams that could not be connected to
PATIENCE_TARGETS = 4  # latency targets after which a silent upstream is given up
EXPECTED_DELAYS = 2  # of the expected delay that a busy upstream may take
PATIENCE_SHARE = 0.45  # of the time left that one of several attempts may take
FIRST_RETRY_AFTER = 100  # ms
LAST_RETRY_AFTER = 400  # ms
LEAST_BUSY_PAUSE = 200  # ms
SERVER_ERROR = 500
SUCCESS = range(200, 300)

log = module_logger(__name__)


class Attempts:
    """Finds an upstream for a job and returns the exchange whose answer began."""

    __slots__ = (
        "_dialect",
        "_placer",
        "_pool",
        "_loads",
        "_health",
        "_steadiness",
        "_withdrawal",
        "_quarantine",
        "_budget",
        "_beliefs",
        "_caching",
        "_clock",
        "_counters",
    )

    def __init__(
        self,
        dialect,
        placer,
        pool,
        loads,
        health,
        steadiness,
        withdrawal,
        quarantine,
        budget,
        beliefs,
        caching,
        clock,
        counters,
    ):
        self._dialect = dialect
        self._placer = placer
        self._pool = pool
        self._loads = loads
        self._health = health
        self._steadiness = steadiness
        self._withdrawal = withdrawal
        self._quarantine = quarantine
        self._budget = budget
        self._beliefs = beliefs
        self._caching = caching
        self._clock = clock
        self._counters = counters

    def run(self, job):
        """Return an Exchange with an answer to pass on, or raise Refusal."""
        dials = 0
        while True:
            choice = self._choose(job)
            exchange = self._open(job, choice)
            if exchange is None:
                dials += 1
                if dials >= MAX_DIALS:
                    raise self._give_up(job)
                continue
            if self._is_answered(job, exchange):
                return exchange
            if not job.may_run_again or job.sends >= MAX_SENDS:
                raise self._give_up(job)

    def failed_midway(self, job, exchange, error):
        """Note that an answer broke off; tell whether another run may go on."""
        exchange.cancel()
        self._note_broken(job, exchange.attempt, "midway", error)
        can_go_on = job.is_resumable_stream or not job.is_started
        return can_go_on and job.may_run_again and job.sends < MAX_SENDS

    def ended(self, job):
        """Note that the answer of a job was passed on to its end."""
        if job.status < SERVER_ERROR:
            self._quarantine.record_served(job)

    def _place(self, job):
        return self._placer.choose(job.call, job.route, job.service, job.tried)

    def _choose(self, job):
        """Return the Choice to send to now, or raise Refusal."""
        self._check_time(job)
        self._check_quarantine(job)
        choice = self._place(job)
        if choice is None:
            raise self._no_upstream(job)
        if is_too_late(job, choice.delay):
            self._counters.add("refusal.delay")
            raise self._too_busy(job, choice.delay)
        if job.sends and not self._budget.try_spend(job.service.name):
            self._counters.add("retry.no_budget")
            raise self._give_up(job)
        return choice

    def _check_time(self, job):
        if job.end - self._clock.now() >= LEAST_TIME:
            return
        if job.runs:
            raise Refusal(Reason.UPSTREAM_SILENT)
        raise Refusal(Reason.OUT_OF_TIME)

    def _check_quarantine(self, job):
        try:
            self._quarantine.check(job)
        except Refusal:
            if job.runs:
                raise self._give_up(job)
            raise

    def _open(self, job, choice):
        """Return an Exchange, or None where the upstream cannot be connected to."""
        call = job.call
        attempt = Attempt(choice.upstream, job.workspace, job.priority)
        attempt.time_left = job.end - self._clock.now()
        attempt.after_event = job.last_event
        attempt.delay = choice.delay
        if choice.version is not None:
            self._caching.prepare(attempt, call, choice.version)
        self._quarantine.record_sent(job, attempt)
        self._note_sent(job, attempt, choice)
        request = self._dialect.attempt_request(call, attempt)
        is_bound = not (job.is_repeatable and job.runs + 1 < job.route.max_attempts)
        work = work_of(call, job.service, choice.upstream, is_bound)
        exchange = Exchange(attempt, request, work, self._pool, self._loads)
        try:
            exchange.open(job.is_repeatable)
        except ConnectFailed as error:
            if isinstance(error, ConnectRefused):
                self._quarantine.record_connect_refused(choice.upstream)
            self._note_failed(job, choice.upstream, "connect", error)
            return None
        return exchange

    def _is_answered(self, job, exchange):
        """Tell whether the answer is to be passed on; close the exchange on errors."""
        try:
            return self._takes(job, exchange)
        except BaseException:
            exchange.cancel()
            raise

    def _note_sent(self, job, attempt, choice):
        log.info(
            "attempt sent",
            request=job.call.id,
            upstream=choice.upstream.id,
            version=choice.version,
            delay_ms=round(choice.delay),
            time_left_ms=attempt.time_left,
            after_event=None if job.last_event is None else job.last_event.decode(),
            fetches=attempt.fetch_from is not None,
            saves=attempt.save_to is not None,
            upstreams_age_ms=self._beliefs.age(Topic.UPSTREAMS),
        )

    def _takes(self, job, exchange):
        """Send and read the head; tell whether its answer is to be passed on."""
        job.sends += 1
        job.runs += 1  # until the upstream promises that it has not run
        left = job.end - self._clock.now()
        if job.is_stream and not job.is_started:
            left = min(left, stream_patience(job.route))
        try:
            exchange.send(left)
            exchange.read_head(
                self._dialect.read_answer,
                job.call.id,
                self._patience(job, left, exchange.attempt.delay),
            )
        except (AnswerBroken, AnswerTimeout) as error:
            exchange.cancel()
            self._note_broken(job, exchange.attempt, "no_answer", error)
            return False
        return self._judge(job, exchange)

    def _judge(self, job, exchange):
        facts = exchange.facts
        status = exchange.head.status
        upstream = exchange.attempt.upstream
        if facts.other_id in (None, upstream.id):
            self._withdrawal.record_answer(upstream, facts)
        if facts.not_run:
            self._note_not_run(job, exchange)
            return False
        if status in SUCCESS and not facts.is_sealed:
            exchange.cancel()
            self._note_failed(job, upstream, "unsealed", status)
            return False
        if status >= SERVER_ERROR and self._may_replace(job):
            exchange.cancel()
            job.failure = Reason.UPSTREAM_FAILED
            self._note_retry(job, upstream, "server_error", status)
            return False
        self._health.answered(upstream.id)
        self._steadiness.answered(upstream.id)
        return True

    def _may_replace(self, job):
        return (
            job.may_run_again
            and job.sends < MAX_SENDS
            and job.end - self._clock.now() > job.route.target_latency
            and self._place(job) is not None
        )

    def _patience(self, job, left, delay):
        """Return the ms to wait for the answer's head; `delay` was expected."""
        if not job.is_repeatable or job.runs >= job.route.max_attempts:
            return left
        target = job.route.target_latency
        expected = delay * EXPECTED_DELAYS + target
        patience = max(target * PATIENCE_TARGETS, expected)
        return max(min(patience, left), left * PATIENCE_SHARE)

    def _note_not_run(self, job, exchange):
        """Take back the run; learn what the upstream told of itself."""
        job.runs -= 1
        facts = exchange.facts
        upstream = exchange.attempt.upstream
        exchange.cancel()
        if facts.version is not None and job.call.model is not None:
            self._beliefs.learn_version(upstream.id, job.call.model, facts.version)
        if facts.other_id is not None and facts.other_id != upstream.id:
            self._beliefs.learn(Removal(upstream.id, upstream.offset))
        self._note_retry(job, upstream, "not_run", exchange.head.status)
        if job.failure is None:
            job.failure = Reason.UPSTREAMS_FULL

    def _note_broken(self, job, attempt, why, error):
        """Note that the answer of an attempt broke off or did not come."""
        if isinstance(error, AnswerCut):
            self._quarantine.record_cut_answer(job, attempt)
        self._note_failed(job, attempt.upstream, why, error)

    def _note_failed(self, job, upstream, why, detail):
        silent = isinstance(detail, AnswerTimeout)
        if silent or why == "connect":
            self._health.failed(upstream.id)
        else:
            self._steadiness.failed(upstream.id)
        self._pool.forget(upstream.address)
        if why == "no_answer":
            job.failure = Reason.UPSTREAM_SILENT if silent else Reason.UPSTREAM_FAILED
        self._note_retry(job, upstream, why, detail)

    def _note_retry(self, job, upstream, why, detail):
        job.tried.add(upstream.id)
        self._counters.add(f"attempt.{why}")
        log.info(
            "attempt failed",
            request=job.call.id,
            fingerprint=job.fingerprint,
            upstream=upstream.id,
            why=why,
            detail=str(detail),
            is_cut=isinstance(detail, AnswerCut),
            runs=job.runs,
            sends=job.sends,
        )

    def _no_upstream(self, job):
        if job.sends:
            return self._give_up(job)
        return Refusal(Reason.NO_UPSTREAM, self._retry_after(job))

    def _too_busy(self, job, delay):
        """Return the Refusal of a job whose answer would come too late."""
        if job.runs:
            return self._give_up(job)
        pause = uniform(LEAST_BUSY_PAUSE, max(LEAST_BUSY_PAUSE, delay))
        return Refusal(Reason.UPSTREAMS_FULL, pause)

    def _give_up(self, job):
        """Return the Refusal of a job; it promises only what holds."""
        if job.runs:
            return Refusal(job.failure if _is_failure(job) else Reason.UPSTREAM_FAILED)
        return Refusal(job.failure or Reason.NO_UPSTREAM, self._retry_after(job))

    def _retry_after(self, job):
        """Return the ms after which an upstream may take the request."""
        pause = uniform(FIRST_RETRY_AFTER, LAST_RETRY_AFTER)
        reopens_in = self._placer.time_until_open(job.service)
        return pause if reopens_in is None else reopens_in + pause


def _is_failure(job):
    return job.failure in (Reason.UPSTREAM_FAILED, Reason.UPSTREAM_SILENT)
