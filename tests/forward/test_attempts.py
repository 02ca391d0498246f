"""Outcome of requests whose upstreams fail, by kind of request.

Guards against running a request more often than allowed, and against an answer that
promises that a request has not run although it may have.
"""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import RequestKind, Usage
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.attempts import AttemptRunner
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.cache_directives import CacheDirectives
from mulberryhub.forward.call import AnswerFacts, Dialect
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.remaining_time import RemainingTime
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.http.messages import (
    ConnectionFailed,
    Headers,
    ResponseBroken,
    ResponseHead,
    ResponseTimeout,
)
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward.fakes import (
    make_call,
    make_rate_limits,
    make_route,
    make_service,
    make_upstream,
)

OK, FAILED, NOT_RUN = "ok", "failed", "not_run"
UNREACHABLE, BROKEN, SILENT, UNSEALED, STRAY = (
    "unreachable",
    "broken",
    "silent",
    "unsealed",
    "stray",
)
STATUS_BY_OUTCOME = {OK: 200, FAILED: 500, NOT_RUN: 503, UNSEALED: 200, STRAY: 200}
MAY_HAVE_RUN = {OK, FAILED, BROKEN, SILENT, UNSEALED}


class FakeConnection:
    def __init__(self, outcome, fixture):
        self.outcome = outcome
        self._fixture = fixture
        self._strays = 1 if outcome == STRAY else 0

    def send(self, request, timeout):
        self._fixture.sent.append(self.outcome)

    def read_head(self, timeout):
        if self.outcome == BROKEN:
            raise ResponseBroken("reset")
        if self.outcome == SILENT:
            self._fixture.clock.advance(timeout)
            raise ResponseTimeout("silent")
        head = ResponseHead(STATUS_BY_OUTCOME[self.outcome], Headers())
        head.is_stray = bool(self._strays)
        head.outcome = self.outcome
        return head

    def skip_response(self, request, timeout):
        self._strays -= 1

    def close(self):
        pass


class FakeHead(ResponseHead):
    __slots__ = ("is_stray", "outcome")


class Fixture:
    def __init__(self, outcomes, kind, **route_values):
        self.clock = ManualClock(now=1_000)
        self.outcomes = list(outcomes)
        self.is_shutting_down = False
        self.pause = None
        self.sent, self.work_while_connecting = [], []
        self.remaining_time = RemainingTime(self.clock)
        fleet_state = FleetState(self.clock)
        for index in range(6):
            fleet_state.apply(make_upstream(f"u{index}", index + 1))
        self.loads = loads = Loads(Usage, self.clock)
        self.connect_health = connect_health = UpstreamHealth(self.clock, Counters())
        self.answer_health = answer_health = UpstreamHealth(self.clock, Counters())
        rate_limits = make_rate_limits(fleet_state, self.clock)
        availability = UpstreamAvailability(
            "n1", fleet_state, rate_limits, self.clock, Counters()
        )
        budget = RetryBudget(BudgetRule(10_000, 0.2, 100), lambda: 1, self.clock)
        dialect = Dialect(None, lambda call, attempt: None, self.read_answer, None)
        self.attempt_runner = AttemptRunner(
            dialect,
            UpstreamSelector(
                fleet_state,
                loads,
                connect_health,
                answer_health,
                availability,
                "a",
                11_000,
            ),
            self,
            loads,
            connect_health,
            answer_health,
            availability,
            rate_limits,
            Quarantine(
                "n1", fleet_state, self.is_refused, None, self.clock, Counters()
            ),
            self.remaining_time,
            budget,
            fleet_state,
            CacheDirectives(lambda: None, fleet_state.cache_index, self.clock),
            self.clock,
            Counters(),
        )
        call, route = make_call(arrived_at=1_000), make_route(kind, **route_values)
        self.job = Job(call, route, make_service(), None, 5_000)

    @staticmethod
    def is_refused(address, timeout):
        return False

    def read_answer(self, head, attempt):
        request_id = "other" if head.is_stray else "id-1"
        is_sealed = head.outcome != UNSEALED
        return AnswerFacts(
            request_id,
            head.outcome == NOT_RUN,
            None,
            is_sealed,
            None,
            self.is_shutting_down,
            self.pause,
        )

    def take_idle(self, address, max_idle=None):
        return None

    def open(self, address, timeout):
        index = int(address.split(":")[0].rpartition(".")[2]) - 1
        self.work_while_connecting.append(self.loads.work(f"u{index}"))
        outcome = self.outcomes.pop(0) if self.outcomes else OK
        if outcome == UNREACHABLE:
            raise ConnectionFailed("unreachable")
        return FakeConnection(outcome, self)

    def close_idle(self, address):
        pass

    def run(self):
        """Return the status that the client receives."""
        try:
            exchange = self.attempt_runner.run(self.job)
        except Refusal as refusal:
            return refusal.reason.status
        exchange.cancel()
        return exchange.head.status

    def start_next_job(self):
        """Replace the job by another request of the same kind."""
        self.job = Job(self.job.call, self.job.route, self.job.service, None, 5_000)

    def runs(self):
        return sum(1 for outcome in self.sent if outcome in MAY_HAVE_RUN)


@pytest.fixture(autouse=True)
def fake_heads(monkeypatch):
    monkeypatch.setattr("tests.forward.test_attempts.ResponseHead", FakeHead)


@pytest.mark.parametrize(
    "outcomes, status, runs",
    [
        ([OK], 200, 1),
        ([UNREACHABLE, UNREACHABLE, OK], 200, 1),
        ([NOT_RUN, NOT_RUN, OK], 200, 1),
        ([STRAY], 200, 0),
        ([FAILED], 500, 1),
        ([BROKEN], 502, 1),
        ([SILENT], 504, 1),
        ([UNSEALED], 502, 1),
        ([NOT_RUN, BROKEN], 502, 1),
        ([UNREACHABLE] * 9, 503, 0),
        ([NOT_RUN] * 9, 503, 0),
    ],
)
def test_non_idempotent_requests_run_at_most_once(outcomes, status, runs):
    fixture = Fixture(outcomes, RequestKind.NON_IDEMPOTENT)
    assert fixture.run() == status
    assert fixture.runs() == runs


@pytest.mark.parametrize(
    "outcomes, status, runs",
    [
        ([FAILED, OK], 200, 2),
        ([BROKEN, OK], 200, 2),
        ([SILENT, OK], 200, 2),
        ([UNSEALED, OK], 200, 2),
        ([BROKEN, NOT_RUN, OK], 200, 2),
        ([FAILED, FAILED, OK], 500, 2),
        ([BROKEN, BROKEN, OK], 502, 2),
        ([BROKEN, NOT_RUN, NOT_RUN, NOT_RUN], 502, 1),
    ],
)
def test_idempotent_requests_run_as_often_as_the_route_allows(outcomes, status, runs):
    fixture = Fixture(outcomes, RequestKind.IDEMPOTENT, max_attempts=2)
    assert fixture.run() == status
    assert fixture.runs() == runs


@pytest.mark.parametrize("is_resumable, runs", [(True, 2), (False, 1)])
def test_only_resumable_streams_run_again(is_resumable, runs):
    fixture = Fixture(
        [BROKEN, OK], RequestKind.STREAMING, max_attempts=2, is_resumable=is_resumable
    )
    assert fixture.run() == (200 if is_resumable else 502)
    assert fixture.runs() == runs


def test_request_without_time_left_is_not_sent():
    fixture = Fixture([OK], RequestKind.IDEMPOTENT)
    fixture.clock.advance(3_995)
    assert fixture.run() == 503
    assert not fixture.sent


def test_refusal_that_allows_a_retry_has_a_retry_time():
    fixture = Fixture([UNREACHABLE] * 9, RequestKind.NON_IDEMPOTENT)
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.retry_after > 0


@pytest.mark.parametrize(
    "outcome, connect_failures, answer_failures",
    [(UNREACHABLE, 1, 0), (SILENT, 1, 0), (BROKEN, 0, 1)],
)
def test_cut_answer_does_not_count_as_connect_failure(
    outcome, connect_failures, answer_failures
):
    fixture = Fixture([outcome], RequestKind.IDEMPOTENT, max_attempts=2)
    fixture.run()
    assert len(fixture.connect_health.failing_by_id) == connect_failures
    assert len(fixture.answer_health.failing_by_id) == answer_failures


def test_request_counts_as_work_while_connecting():
    fixture = Fixture([UNREACHABLE, OK], RequestKind.IDEMPOTENT, max_attempts=2)
    fixture.run()
    assert len(fixture.work_while_connecting) == 2
    assert min(fixture.work_while_connecting) > 0


def test_departing_upstream_gets_no_further_request():
    fixture = Fixture([OK], RequestKind.IDEMPOTENT)
    fixture.is_shutting_down = True
    chosen = []
    for _ in range(6):
        chosen.append(fixture.attempt_runner.run(fixture.job).attempt.upstream.id)
        fixture.start_next_job()
    assert len(set(chosen)) == 6
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.reason is Reason.NO_UPSTREAM


def test_paused_upstreams_get_no_requests_and_the_refusal_has_their_pause():
    fixture = Fixture([NOT_RUN] * 6, RequestKind.NON_IDEMPOTENT)
    fixture.pause = 2_500.0
    assert fixture.run() == 503
    assert fixture.sent == [NOT_RUN] * 4
    fixture.start_next_job()
    assert fixture.run() == 503
    assert fixture.sent == [NOT_RUN] * 6
    fixture.start_next_job()
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert fixture.sent == [NOT_RUN] * 6
    assert 2_500 <= refused.value.retry_after <= 3_000


@pytest.mark.parametrize(
    "is_answer_started, may_run_again", [(False, True), (True, False)]
)
def test_request_whose_answer_has_begun_is_not_run_again(
    is_answer_started, may_run_again
):
    fixture = Fixture([OK], RequestKind.IDEMPOTENT, max_attempts=2)
    exchange = fixture.attempt_runner.run(fixture.job)
    fixture.job.is_answer_started = is_answer_started
    error = ResponseBroken("reset")
    assert (
        fixture.attempt_runner.record_broken_answer(fixture.job, exchange, error)
        == may_run_again
    )
