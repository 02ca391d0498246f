"""Outcome of requests whose upstreams fail, by kind of request.

Guards against running a request more often than allowed, and against an answer that
promises that a request has not run although it may have.
"""

import pytest

from mulberryhub.fleet.records import RequestKind
from mulberryhub.forward.events import InvalidEvent
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.http.messages import ResponseBroken
from mulberryhub.upstream.health import FIRST_AVOIDANCE_MS
from tests.forward.attempt_fixture import (
    BROKEN,
    FAILED,
    NOT_RUN,
    OK,
    SILENT,
    STRAY,
    UNREACHABLE,
    UNSEALED,
    Fixture,
)


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


def test_time_of_opening_a_connection_is_recorded_if_it_succeeds():
    """Guards against round-trip times that are never measured."""
    fixture = Fixture([UNREACHABLE, OK], RequestKind.NON_IDEMPOTENT)
    assert fixture.run() == 200
    assert fixture.connected == [("a", 0)]


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


def test_upstream_that_sends_garbage_in_each_stream_is_avoided_for_longer():
    fixture = Fixture([OK] * 3, RequestKind.STREAMING, software_versions=(None,))
    for _ in range(3):
        exchange = fixture.attempt_runner.run(fixture.job)
        error = InvalidEvent("no event")
        fixture.attempt_runner.record_broken_answer(fixture.job, exchange, error)
        fixture.start_next_job()
    fixture.clock.advance(4 * FIRST_AVOIDANCE_MS - 1)
    assert fixture.answer_health.is_avoided(exchange.attempt.upstream.id)
