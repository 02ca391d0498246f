"""Which requests a router still sends to upstreams while it stops."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import RequestKind
from mulberryhub.forward.job import Job
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.remaining_time import (
    ANSWER_MARGIN_MS,
    MIN_UPSTREAM_TIME_MS,
    RemainingTime,
    stop_refusal,
)
from mulberryhub.forward.run_times import RECENT_RUN_COUNT
from tests.forward import test_attempts
from tests.forward.fakes import make_call, make_route, make_service

STOP_TIME_MS = 3_000
TIMEOUT_MS = 10_000
LONG_MS, SHORT_MS = 2_000, 500
KINDS = [
    (RequestKind.IDEMPOTENT, False),
    (RequestKind.STREAMING, True),
    (RequestKind.STREAMING, False),
    (RequestKind.NON_IDEMPOTENT, False),
]
REPEATABLE_KINDS, SINGLE_RUN_KINDS = KINDS[:2], KINDS[2:]


class StoppingRouter:
    """The remaining time of a router, and jobs that arrive now."""

    def __init__(self, kind, is_resumable):
        self.clock = ManualClock()
        self.remaining_time = RemainingTime(self.clock)
        self._route = make_route(kind, is_resumable=is_resumable)

    def begin_stop(self, time=STOP_TIME_MS):
        self.remaining_time.begin_stop(self.clock.now() + time)

    def job(self, timeout=TIMEOUT_MS):
        now = self.clock.now()
        call = make_call(arrived_at=now)
        return Job(call, self._route, make_service(), None, now + timeout)

    def complete_runs(self, *durations):
        for duration in durations:
            job = self.job()
            self.clock.advance(duration)
            self.remaining_time.record_completed(job)

    def reason(self, job):
        """Return the Reason for which `job` is refused, or None if it is sent."""
        try:
            self.remaining_time.check(job)
        except Refusal as refusal:
            return refusal.reason
        return None


@pytest.mark.parametrize("kind, is_resumable", KINDS)
def test_request_is_sent_whatever_its_time_while_the_router_does_not_stop(
    kind, is_resumable
):
    router = StoppingRouter(kind, is_resumable)
    router.complete_runs(LONG_MS)
    assert router.reason(router.job()) is None


@pytest.mark.parametrize("kind, is_resumable", KINDS)
def test_request_is_sent_only_if_its_deadline_is_before_the_end_of_the_stop(
    kind, is_resumable
):
    router = StoppingRouter(kind, is_resumable)
    router.begin_stop()
    longest = STOP_TIME_MS - ANSWER_MARGIN_MS
    assert router.reason(router.job(longest)) is None
    assert router.reason(router.job(longest + 1)) is Reason.STOPPING
    router.clock.advance(1)
    assert router.reason(router.job(longest)) is Reason.STOPPING


@pytest.mark.parametrize("kind, is_resumable", SINGLE_RUN_KINDS)
def test_recent_short_runs_do_not_let_a_request_that_runs_once_be_sent(
    kind, is_resumable
):
    router = StoppingRouter(kind, is_resumable)
    router.complete_runs(SHORT_MS)
    router.begin_stop()
    assert router.reason(router.job()) is Reason.STOPPING


@pytest.mark.parametrize("kind, is_resumable", REPEATABLE_KINDS)
def test_repeatable_request_is_expected_to_last_as_long_as_recent_runs(
    kind, is_resumable
):
    router = StoppingRouter(kind, is_resumable)
    router.complete_runs(LONG_MS, SHORT_MS)
    router.begin_stop()
    job = router.job()
    router.clock.advance(STOP_TIME_MS - LONG_MS - ANSWER_MARGIN_MS)
    assert router.reason(job) is None
    router.clock.advance(1)
    assert router.reason(job) is Reason.STOPPING
    assert router.reason(router.job(SHORT_MS)) is None


def test_long_runs_are_forgotten_after_many_short_ones():
    router = StoppingRouter(*REPEATABLE_KINDS[0])
    router.complete_runs(LONG_MS, *[SHORT_MS] * RECENT_RUN_COUNT)
    router.begin_stop(LONG_MS)
    assert router.reason(router.job()) is None


def test_runs_of_other_kinds_and_services_do_not_count():
    router = StoppingRouter(*REPEATABLE_KINDS[0])
    router.complete_runs(SHORT_MS)
    router.begin_stop()
    job = router.job()
    other_service = Job(
        job.call, job.route, make_service(name="other"), None, TIMEOUT_MS * 2
    )
    other_route = make_route(RequestKind.STREAMING, is_resumable=True)
    other_kind = Job(job.call, other_route, make_service(), None, TIMEOUT_MS * 2)
    assert router.reason(job) is None
    assert router.reason(other_service) is Reason.STOPPING
    assert router.reason(other_kind) is Reason.STOPPING


@pytest.mark.parametrize("kind, is_resumable", KINDS)
@pytest.mark.parametrize("failure_reason", [None, *Reason])
def test_rejection_after_a_run_does_not_promise_that_it_has_not_run(
    kind, is_resumable, failure_reason
):
    router = StoppingRouter(kind, is_resumable)
    router.begin_stop()
    for timeout in (TIMEOUT_MS, MIN_UPSTREAM_TIME_MS - 1):
        job = router.job(timeout)
        job.runs = 1
        job.failure_reason = failure_reason
        assert not router.reason(job).promises_not_run


def test_rejection_lets_the_client_come_back_to_another_router():
    router = StoppingRouter(*SINGLE_RUN_KINDS[1])
    router.begin_stop()
    with pytest.raises(Refusal) as caught:
        router.remaining_time.check(router.job())
    assert caught.value.reason.status == 503
    assert 0 < caught.value.retry_after < TIMEOUT_MS / 3


@pytest.mark.parametrize("runs, status", [(0, 503), (1, 504), (2, 504)])
def test_refusal_at_the_end_of_a_stop_promises_only_what_is_true(runs, status):
    job = StoppingRouter(*KINDS[0]).job()
    job.runs = runs
    assert stop_refusal(job).reason.status == status
    assert stop_refusal(None).reason.status == 503


class StopWhileConnecting(test_attempts.Fixture):
    """A router that is asked to stop while it connects to an upstream."""

    def open(self, address, timeout):
        self.remaining_time.begin_stop(self.clock.now() + STOP_TIME_MS)
        return super().open(address, timeout)


def test_request_whose_router_stops_while_it_connects_is_not_sent():
    fixture = StopWhileConnecting([], RequestKind.NON_IDEMPOTENT)
    assert fixture.run() == 503
    assert fixture.sent == []
