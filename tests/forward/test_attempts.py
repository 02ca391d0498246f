"""What becomes of a request whose upstreams fail, by kind: runs, promises, answers."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.fleet.records import Kind, Use
from mulberryhub.forward.attempts import Attempts
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.caching import Caching
from mulberryhub.forward.call import AnswerFacts, Dialect
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.placing import Placer
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.withdrawal import Withdrawal
from mulberryhub.http.messages import (
    AnswerBroken,
    AnswerHead,
    AnswerTimeout,
    ConnectFailed,
    Headers,
)
from mulberryhub.upstream.health import Health
from tests.forward.fakes import make_call, make_route, make_service, make_upstream

OK, FAILED, NOT_RUN = "ok", "failed", "not_run"
DARK, BROKEN, SILENT, UNSEALED, STRAY = "dark", "broken", "silent", "unsealed", "stray"
STATUS_BY_FATE = {OK: 200, FAILED: 500, NOT_RUN: 503, UNSEALED: 200, STRAY: 200}
MAY_HAVE_RUN = {OK, FAILED, BROKEN, SILENT, UNSEALED}


class Connection:
    def __init__(self, fate, world):
        self.fate = fate
        self._world = world
        self._strays = 1 if fate == STRAY else 0

    def send(self, request, timeout):
        self._world.sent.append(self.fate)

    def read_head(self, timeout):
        if self.fate == BROKEN:
            raise AnswerBroken("reset")
        if self.fate == SILENT:
            self._world.clock.advance(timeout)
            raise AnswerTimeout("silent")
        head = AnswerHead(STATUS_BY_FATE[self.fate], Headers())
        head.is_stray = bool(self._strays)
        head.fate = self.fate
        return head

    def skip_answer(self, request, timeout):
        self._strays -= 1

    def close(self):
        pass


class Head(AnswerHead):
    __slots__ = ("is_stray", "fate")


class World:
    def __init__(self, fates, kind, **route_values):
        self.clock = ManualClock(now=1_000)
        self.fates = list(fates)
        self.sent = []
        self.is_leaving = False
        self.pause = None
        self.work_while_dialled = []
        beliefs = Beliefs(self.clock)
        for index in range(6):
            beliefs.learn(make_upstream(f"u{index}", index + 1))
        self.loads = loads = Loads(Use, self.clock)
        self.health = health = Health(self.clock, Counters())
        self.steadiness = steadiness = Health(self.clock, Counters())
        withdrawal = Withdrawal("n1", beliefs, self.clock, Counters())
        budget = RetryBudget(BudgetRule(10_000, 0.2, 100), lambda: 1, self.clock)
        dialect = Dialect(None, lambda call, attempt: None, self.read_answer, None)
        self.attempts = Attempts(
            dialect,
            Placer(beliefs, loads, health, steadiness, withdrawal, "a", 11_000),
            self,
            loads,
            health,
            steadiness,
            withdrawal,
            Quarantine("n1", beliefs, self.is_refused, None, self.clock, Counters()),
            budget,
            beliefs,
            Caching(lambda: None, beliefs.kept, self.clock),
            self.clock,
            Counters(),
        )
        call = make_call()
        call.request.arrived = 1_000
        route = make_route(kind, **route_values)
        self.job = Job(call, route, make_service(), None, 5_000)

    @staticmethod
    def is_refused(address, timeout):
        return False

    def read_answer(self, head, attempt):
        request_id = "other" if head.is_stray else "id-1"
        sealed = head.fate != UNSEALED
        return AnswerFacts(
            request_id,
            head.fate == NOT_RUN,
            None,
            sealed,
            None,
            self.is_leaving,
            self.pause,
        )

    def take_idle(self, address, max_idle=None):
        return None

    def open(self, address, timeout):
        index = int(address.split(":")[0].rpartition(".")[2]) - 1
        self.work_while_dialled.append(self.loads.work(f"u{index}"))
        fate = self.fates.pop(0) if self.fates else OK
        if fate == DARK:
            raise ConnectFailed("dark")
        return Connection(fate, self)

    def forget(self, address):
        pass

    def run(self):
        """Return the status that the client gets."""
        try:
            exchange = self.attempts.run(self.job)
        except Refusal as refusal:
            return refusal.reason.status
        exchange.cancel()
        return exchange.head.status

    def ask_again(self):
        """Let another request of the same kind come."""
        self.job = Job(self.job.call, self.job.route, self.job.service, None, 5_000)

    def runs(self):
        return sum(1 for fate in self.sent if fate in MAY_HAVE_RUN)


@pytest.fixture(autouse=True)
def heads(monkeypatch):
    monkeypatch.setattr("tests.forward.test_attempts.AnswerHead", Head)


@pytest.mark.parametrize(
    "fates, status, runs",
    [
        ([OK], 200, 1),
        ([DARK, DARK, OK], 200, 1),
        ([NOT_RUN, NOT_RUN, OK], 200, 1),
        ([STRAY], 200, 0),
        ([FAILED], 500, 1),
        ([BROKEN], 502, 1),
        ([SILENT], 504, 1),
        ([UNSEALED], 502, 1),
        ([NOT_RUN, BROKEN], 502, 1),
        ([DARK] * 9, 503, 0),
        ([NOT_RUN] * 9, 503, 0),
    ],
)
def test_what_is_not_idempotent_runs_once_and_promises_hold(fates, status, runs):
    world = World(fates, Kind.NON_IDEMPOTENT)
    assert world.run() == status
    assert world.runs() == runs


@pytest.mark.parametrize(
    "fates, status, runs",
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
def test_idempotent_requests_run_as_often_as_the_route_allows(fates, status, runs):
    world = World(fates, Kind.IDEMPOTENT, max_attempts=2)
    assert world.run() == status
    assert world.runs() == runs


@pytest.mark.parametrize("is_resumable, runs", [(True, 2), (False, 1)])
def test_only_resumable_streams_run_again(is_resumable, runs):
    world = World(
        [BROKEN, OK], Kind.STREAMING, max_attempts=2, is_resumable=is_resumable
    )
    assert world.run() == (200 if is_resumable else 502)
    assert world.runs() == runs


def test_a_request_without_time_left_is_not_sent():
    world = World([OK], Kind.IDEMPOTENT)
    world.clock.advance(3_995)
    assert world.run() == 503
    assert not world.sent


def test_a_refusal_that_may_come_back_tells_when():
    world = World([DARK] * 9, Kind.NON_IDEMPOTENT)
    with pytest.raises(Refusal) as refused:
        world.attempts.run(world.job)
    assert refused.value.retry_after > 0


@pytest.mark.parametrize(
    "fate, unreachable, unsteady", [(DARK, 1, 0), (SILENT, 1, 0), (BROKEN, 0, 1)]
)
def test_a_cut_answer_does_not_make_an_upstream_unreachable(
    fate, unreachable, unsteady
):
    world = World([fate], Kind.IDEMPOTENT, max_attempts=2)
    world.run()
    assert len(world.health.failing_by_id) == unreachable
    assert len(world.steadiness.failing_by_id) == unsteady


def test_a_request_counts_as_work_while_its_upstream_is_dialled():
    world = World([DARK, OK], Kind.IDEMPOTENT, max_attempts=2)
    world.run()
    assert len(world.work_while_dialled) == 2
    assert min(world.work_while_dialled) > 0


def test_an_upstream_that_is_leaving_gets_no_further_request():
    world = World([OK], Kind.IDEMPOTENT)
    world.is_leaving = True
    chosen = []
    for _ in range(6):
        chosen.append(world.attempts.run(world.job).attempt.upstream.id)
        world.ask_again()
    assert len(set(chosen)) == 6
    with pytest.raises(Refusal) as refused:
        world.attempts.run(world.job)
    assert refused.value.reason is Reason.NO_UPSTREAM


def test_upstreams_that_pause_get_nothing_and_the_client_hears_when_to_return():
    world = World([NOT_RUN] * 6, Kind.NON_IDEMPOTENT)
    world.pause = 2_500.0
    assert world.run() == 503
    assert world.sent == [NOT_RUN] * 4
    world.ask_again()
    assert world.run() == 503
    assert world.sent == [NOT_RUN] * 6
    world.ask_again()
    with pytest.raises(Refusal) as refused:
        world.attempts.run(world.job)
    assert world.sent == [NOT_RUN] * 6
    assert 2_500 <= refused.value.retry_after <= 3_000


@pytest.mark.parametrize("is_started, goes_on", [(False, True), (True, False)])
def test_an_answer_that_has_begun_is_not_run_again_in_vain(is_started, goes_on):
    world = World([OK], Kind.IDEMPOTENT, max_attempts=2)
    exchange = world.attempts.run(world.job)
    world.job.is_started = is_started
    error = AnswerBroken("reset")
    assert world.attempts.failed_midway(world.job, exchange, error) == goes_on
