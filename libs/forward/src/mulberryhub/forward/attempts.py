"""Sends a request to upstreams until one answers, and decides on retries.

A request that may run only once is retried only if the upstream states that it did
not run. All retries are bounded by MAX_SENDS and the retry budget, and those after a
run by the route's `max_attempts` too.
"""

from math import inf

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import Removal
from mulberryhub.fleet.state import Topic
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.delay import event_timeout
from mulberryhub.forward.exchange import Exchange
from mulberryhub.forward.refusal import NOT_RUN_STATUSES, Reason, Refusal
from mulberryhub.forward.refusals import Refusals
from mulberryhub.forward.stream_versions import accept_both
from mulberryhub.forward.work import estimate_work
from mulberryhub.http.messages import (
    SUCCESS_STATUSES,
    ConnectionFailed,
    ConnectionRefused,
    ResponseBroken,
    ResponseMalformed,
    ResponseTimeout,
    ResponseTruncated,
)

MAX_SENDS = 4  # of one request, including those that did not run
MAX_CONNECT_FAILURES = 4  # of one request
HEAD_TIMEOUT_TARGETS = 4  # latency targets to wait for the head of an answer
# Multiple of the expected delay to wait for the head of an answer, which gives busy
# upstreams more time.
HEAD_TIMEOUT_DELAYS = 2
MIN_HEAD_TIMEOUT_SHARE = 0.45  # of the time left, where another attempt may follow
MAX_PERMIT_WAIT_MS = 150  # after which no further upstream is tried for a permit
MIN_SERVER_ERROR_STATUS = 500
MAX_LOGGED_PARTS = 16  # of one request
UNKNOWN_AGE = -1  # ms, in logs

log = module_logger(__name__)


class AttemptRunner:
    """Selects upstreams for a job and returns the exchange to relay.

    `record_connected(data_centre, duration)` is called with the ms in which a
    connection was opened.
    """

    __slots__ = (
        "_dialect",
        "_selector",
        "_refusals",
        "_pool",
        "_loads",
        "_connect_health",
        "_answer_health",
        "_availability",
        "_rate_limits",
        "_quarantine",
        "_remaining_time",
        "_stream_versions",
        "_budget",
        "_fleet_state",
        "_cache_directives",
        "_speeds",
        "_admission",
        "_release_filter",
        "_release_outcomes",
        "_clock",
        "_counters",
        "_record_connected",
    )

    def __init__(
        self,
        dialect,
        selector,
        pool,
        loads,
        connect_health,
        answer_health,
        availability,
        rate_limits,
        quarantine,
        remaining_time,
        stream_versions,
        budget,
        fleet_state,
        cache_directives,
        speeds,
        admission,
        release_filter,
        release_outcomes,
        clock,
        counters,
        record_connected=lambda data_centre, duration: None,
    ):
        self._dialect = dialect
        self._selector = selector
        self._refusals = Refusals(selector, stream_versions, admission)
        self._pool = pool
        self._loads = loads
        self._connect_health = connect_health
        self._answer_health = answer_health
        self._availability = availability
        self._rate_limits = rate_limits
        self._quarantine = quarantine
        self._remaining_time = remaining_time
        self._stream_versions = stream_versions
        self._budget = budget
        self._fleet_state = fleet_state
        self._cache_directives = cache_directives
        self._speeds = speeds
        self._admission = admission
        self._release_filter = release_filter
        self._release_outcomes = release_outcomes
        self._clock = clock
        self._counters = counters
        self._record_connected = record_connected

    def run(self, job):
        """Return an Exchange whose answer is to be relayed, or raise Refusal."""
        connect_failures = 0
        if not job.sends:
            self._admission.record_arrival(job)
        while True:
            choice = self._choose(job)
            exchange = self._open(job, choice)
            if exchange is None:
                connect_failures += 1
                if connect_failures >= MAX_CONNECT_FAILURES:
                    raise self._refusals.final(job)
                continue
            if self._has_usable_answer(job, exchange):
                return exchange
            if not job.may_run_again or job.sends >= MAX_SENDS:
                raise self._refusals.final(job)

    def record_first_event(self, job, exchange):
        """Record that the first event of an answer arrived, before it is relayed."""
        self._release_outcomes.record_first_byte(job, exchange.attempt)
        self._stream_versions.record_first_event(
            job, exchange.attempt.upstream, exchange.connected_at
        )
        self._speeds.record_first_event(job, exchange.attempt)

    def record_broken_answer(self, job, exchange, error):
        """Record that an answer broke off.

        Return whether another run may continue or replace it.
        """
        exchange.cancel()
        cause = "garbage" if isinstance(error, ResponseMalformed) else "midway"
        self._record_broken(job, exchange.attempt, cause, error)
        is_restartable = job.is_resumable_stream or not job.is_answer_started
        if not (is_restartable and job.may_run_again and job.sends < MAX_SENDS):
            return False
        return self._stream_versions.is_origin_certain(job)

    def record_completed(self, job, exchange):
        """Record that the answer of `exchange` was relayed to its end.

        Only a successful answer that states its end shows that the upstream is sound.
        """
        self._release_outcomes.record_served(job, exchange.attempt)
        if job.status in SUCCESS_STATUSES and exchange.head.is_framed:
            upstream_id = exchange.attempt.upstream.id
            self._answer_health.record_success(upstream_id, is_complete=True)
            self._quarantine.record_served(job)
            self._remaining_time.record_completed(job)
            self._speeds.record_completed(job, exchange.attempt)
            self._admission.record_completed(job, exchange)

    def _place(self, job, excluded_ids=frozenset()):
        accepts_job = self._admission.filter_for(
            job, self._stream_versions.filter_for(job)
        )
        for accepts in self._release_filter.filters_for(job):
            choice = self._selector.choose(
                job.call,
                job.route,
                job.service,
                job.tried_ids | excluded_ids,
                job.flow,
                accept_both(accepts_job, accepts),
                job.workspace,
            )
            if choice is not None:
                return choice
        return None

    def _choose(self, job):
        """Return the Choice to send the request to, or raise Refusal."""
        self._remaining_time.check(job)
        self._check_quarantine(job)
        choice = self._place_with_permit(job)
        if job.sends and not self._budget.try_spend(job.service.name):
            self._counters.add("retry.no_budget")
            self._rate_limits.put_back(choice.upstream, job.flow)
            raise self._refusals.final(job)
        return choice

    def _place_with_permit(self, job):
        """Return a Choice with a permit if its upstream limits requests."""
        denied_ids = set()
        deadline = self._clock.now() + MAX_PERMIT_WAIT_MS
        while True:
            choice = self._place(job, denied_ids)
            if choice is None:
                raise self._refusals.no_upstream(job)
            self._admission.set_delay(job, choice)
            if self._admission.is_too_late(job, choice):
                self._counters.add("refusal.delay")
                raise self._refusals.too_late(job, choice)
            if not self._admission.admits(job, choice):
                self._counters.add("refusal.overload")
                raise self._refusals.overloaded(job, choice)
            if self._rate_limits.try_take(choice.upstream, job.flow, deadline):
                return choice
            denied_ids.add(choice.upstream.id)

    def _check_quarantine(self, job):
        try:
            self._quarantine.check(job)
        except Refusal:
            if job.runs:
                raise self._refusals.final(job)
            raise

    def _open(self, job, choice):
        """Return an Exchange, or None if connecting to the upstream fails."""
        call = job.call
        attempt = Attempt(choice.upstream, job.workspace, job.priority)
        attempt.time_left = job.deadline - self._clock.now()
        attempt.last_event_id = job.last_event_id
        attempt.delay = choice.delay
        if choice.version is not None:
            self._cache_directives.prepare(attempt, call, choice.version)
        self._quarantine.record_sent(job, attempt)
        self._admission.record_sent(job)
        self._release_outcomes.record_sent(job, attempt)
        self._log_sent(job, attempt, choice)
        request = self._dialect.attempt_request(call, attempt)
        is_bound = not (job.is_repeatable and job.runs + 1 < job.route.max_attempts)
        work = estimate_work(
            call, job.service, choice.upstream, is_bound, not job.priority
        )
        exchange = Exchange(attempt, request, work, self._pool, self._loads)
        opened_at = self._clock.now()
        try:
            exchange.open(job.is_repeatable)
        except ConnectionFailed as error:
            if isinstance(error, ConnectionRefused):
                self._quarantine.record_connect_refused(choice.upstream)
            self._record_failed(job, attempt, "connect", error)
            return None
        if not exchange.is_reused:
            duration = self._clock.now() - opened_at
            self._record_connected(choice.upstream.data_centre, duration)
        return exchange

    def _has_usable_answer(self, job, exchange):
        """Return whether the exchange has an answer to relay; cancel it on errors."""
        try:
            return self._send_and_read_head(job, exchange)
        except BaseException:
            exchange.cancel()
            raise

    def _log_sent(self, job, attempt, choice):
        log.info(
            "attempt sent",
            request=job.call.id,
            upstream=choice.upstream.id,
            version=choice.version,
            superseded_ms=self._superseded_ms(job.call.model, choice.version),
            software_version=choice.upstream.software_version,
            delay_ms=round(choice.delay),
            time_left_ms=attempt.time_left,
            after_event=job.last_event_id,
            fetches=attempt.fetch_from is not None,
            saves=attempt.save_to is not None,
            upstreams_age_ms=self._fleet_state.age(Topic.UPSTREAMS),
        )

    def _superseded_ms(self, model, version):
        """Return how long newer weights have been named, as logged.

        None stands for weights that are the newest, UNKNOWN_AGE for an unknown time.
        """
        if version is None:
            return None
        age = self._fleet_state.named_weights.time_since_superseded(model, version)
        return UNKNOWN_AGE if age == inf else age

    def _send_and_read_head(self, job, exchange):
        """Send the request and read the head of the answer.

        Return whether the answer is to be relayed.
        """
        self._remaining_time.check(job)
        job.sends += 1
        job.runs += 1  # taken back if the upstream promises that it did not run
        time_left = job.deadline - self._clock.now()
        if job.is_stream and not job.is_answer_started:
            time_left = min(time_left, event_timeout(job.route))
        try:
            exchange.send(time_left)
            exchange.read_head(
                self._dialect.read_answer,
                job.call.id,
                self._head_timeout(job, time_left, exchange.attempt.delay),
            )
        except (ResponseBroken, ResponseTimeout) as error:
            exchange.cancel()
            self._record_broken(job, exchange.attempt, "no_answer", error)
            return False
        return self._is_usable(job, exchange)

    def _is_usable(self, job, exchange):
        facts = exchange.facts
        status = exchange.head.status
        upstream = exchange.attempt.upstream
        if facts.actual_upstream_id in (None, upstream.id):
            self._availability.record_answer(upstream, facts)
            self._rate_limits.record_answer(
                upstream, facts, exchange.attempt.sent_at, status in SUCCESS_STATUSES
            )
        if facts.not_run:
            self._record_not_run(job, exchange)
            return False
        if status in NOT_RUN_STATUSES:
            exchange.cancel()
            error = ResponseBroken(f"status {status} of a request that may have run")
            self._record_broken(job, exchange.attempt, "no_answer", error)
            return False
        if status in SUCCESS_STATUSES and not facts.is_sealed:
            exchange.cancel()
            self._record_failed(job, exchange.attempt, "unsealed", status)
            return False
        if status >= MIN_SERVER_ERROR_STATUS and self._can_retry_server_error(job):
            exchange.cancel()
            job.failure_reason = Reason.UPSTREAM_FAILED
            self._release_outcomes.record_failed(job, exchange.attempt, None)
            self._record_attempt_failure(job, upstream, "server_error", status)
            return False
        if not (job.is_stream and status in SUCCESS_STATUSES):
            self._release_outcomes.record_first_byte(job, exchange.attempt)
        self._connect_health.record_success(upstream.id)
        self._answer_health.record_success(upstream.id)
        if status in SUCCESS_STATUSES:
            self._admission.record_answer(job, exchange.attempt)
        return True

    def _can_retry_server_error(self, job):
        return (
            job.may_run_again
            and job.sends < MAX_SENDS
            and job.deadline - self._clock.now() > job.route.target_latency
            and self._place(job) is not None
        )

    def _head_timeout(self, job, time_left, delay):
        """Return the time in ms to wait for the head of the answer.

        `delay` is the expected time in ms until the answer begins.
        """
        if not job.is_repeatable or job.runs >= job.route.max_attempts:
            return time_left
        latency_target = job.route.target_latency
        busy_timeout = delay * HEAD_TIMEOUT_DELAYS + latency_target
        timeout = max(latency_target * HEAD_TIMEOUT_TARGETS, busy_timeout)
        return max(min(timeout, time_left), time_left * MIN_HEAD_TIMEOUT_SHARE)

    def _record_not_run(self, job, exchange):
        """Subtract the run; record the upstream's state as given in the answer."""
        job.runs -= 1
        facts = exchange.facts
        upstream = exchange.attempt.upstream
        exchange.cancel()
        self._admission.record_not_run(job, exchange)
        if facts.version is not None and job.call.model is not None:
            self._fleet_state.record_version(upstream.id, job.call.model, facts.version)
        if (
            facts.actual_upstream_id is not None
            and facts.actual_upstream_id != upstream.id
        ):
            self._fleet_state.apply(Removal(upstream.id, upstream.offset))
        self._record_attempt_failure(job, upstream, "not_run", exchange.head.status)
        if job.failure_reason is None:
            job.failure_reason = Reason.UPSTREAMS_FULL

    def _record_broken(self, job, attempt, cause, error):
        """Record that the answer of an attempt broke off or never began."""
        if isinstance(error, ResponseTruncated):
            self._quarantine.record_cut_answer(job, attempt)
        if isinstance(error, ResponseTimeout):
            self._admission.record_late(job, attempt)
        self._record_failed(job, attempt, cause, error)

    def _record_failed(self, job, attempt, cause, detail):
        upstream = attempt.upstream
        self._release_outcomes.record_failed(job, attempt, detail)
        is_timeout = isinstance(detail, ResponseTimeout)
        if is_timeout or cause == "connect":
            self._connect_health.record_failure(upstream.id)
        else:
            self._answer_health.record_failure(
                upstream.id,
                needs_complete_response=isinstance(detail, ResponseMalformed),
            )
        self._pool.close_idle(upstream.address)
        if cause == "no_answer":
            job.failure_reason = (
                Reason.UPSTREAM_SILENT if is_timeout else Reason.UPSTREAM_FAILED
            )
        self._record_attempt_failure(job, upstream, cause, detail)

    def _record_attempt_failure(self, job, upstream, cause, detail):
        job.tried_ids.add(upstream.id)
        self._release_filter.record_failure(job, upstream)
        self._counters.add(f"attempt.{cause}")
        log.info(
            "attempt failed",
            request=job.call.id,
            fingerprint=job.fingerprint,
            parts=job.part_fingerprints[:MAX_LOGGED_PARTS],
            upstream=upstream.id,
            why=cause,
            detail=str(detail),
            is_cut=isinstance(detail, ResponseTruncated),
            runs=job.runs,
            sends=job.sends,
            events=job.event_count,
            last_event=job.last_event_id,
        )
