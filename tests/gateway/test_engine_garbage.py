"""What follows for a request, and for an engine, if the engine sends garbage."""

import json
from types import SimpleNamespace

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.config.inventory import Upstream
from mulberryhub.gateway.attempts import EngineAttempts
from mulberryhub.gateway.relay_dependencies import RelayDependencies
from mulberryhub.routing.policies import make_policy
from mulberryhub.routing.prefix_chain import text_request
from mulberryhub.routing.request import Decision, Scope
from mulberryhub.upstream.budget import MAX_RETRY_COUNT, RetryBudget
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.upstream.messages import EngineRequest, StreamEnd
from tests.gateway.test_attempts import NoSuspects
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import (
    BODY,
    CHUNKED,
    HEAD,
    REQUEST_ID,
    TEXTS,
    TOKEN_COUNT,
    chunk,
    encode_chunk,
    whole_run,
)

IDLE_TIMEOUT_MS = 300
FIRST_TOKEN_TIMEOUT_MS = 600
MAX_RETRIES = 4  # two of each of two engines
TEST_TIMEOUT_S = 20
GARBAGE = b"id: \ndata: %s\n\n" % chunk()


class Monitor:
    def record_incarnation(self, engine_id, incarnation):
        pass


class FreeRuns(NoSuspects):
    """Suspects that never hold a request back."""

    def record_served(self, *arguments):
        pass


class Trial:
    """One request that runs on the first upstream, then on the others.

    `texts` has what was delivered, `error` the ApiError, `has_ended` tells whether
    there was an end.
    """

    def __init__(self, upstreams):
        ids = [f"engine-{index}" for index in range(len(upstreams))]
        by_id = {
            id_: Upstream(id_, "engine", "dc", upstream.address)
            for id_, upstream in zip(ids, upstreams)
        }
        clock, self.counters = Clock(), Counters()
        self.health = UpstreamHealth(clock, self.counters)
        dependencies = RelayDependencies(
            engine_client=EngineClient(self.counters),
            policy=make_policy("random", clock),
            health=self.health,
            engine_monitor=Monitor(),
            retry_budget=RetryBudget(),
            resume_token_signer=None,
            suspects=FreeRuns(),
            confirmed_view=lambda: SimpleNamespace(upstreams_by_id=by_id),
            counters=self.counters,
            clock=clock,
        )
        request = text_request(Scope("w", "m", "1"), "a prompt")
        engine_request = EngineRequest(
            REQUEST_ID,
            dict(BODY),
            idle_timeout=IDLE_TIMEOUT_MS,
            first_token_timeout=FIRST_TOKEN_TIMEOUT_MS,
        )
        self._retry_budget = dependencies.retry_budget
        self.texts = []
        self.error = None
        self.has_ended = False
        self._attempts = EngineAttempts(
            dependencies, Decision(request, ids), engine_request
        )
        self._run()

    @property
    def retry_count(self):
        return round(MAX_RETRY_COUNT - self._retry_budget.available)

    def _run(self):
        try:
            self._attempts.open()
            while not self.has_ended:
                for item in self._attempts.next_items():
                    self.has_ended = isinstance(item, StreamEnd)
                    if not self.has_ended:
                        self.texts.append(item.text)
        except ApiError as error:
            self.error = error
        finally:
            self._attempts.close()
            sleep(0.1)


def garbage_after(token_count):
    """Return an engine that sends tokens from where it is asked to, then garbage."""

    def answer(connection):
        if connection.head.startswith(b"POST /v1/cancel"):
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        events = [*whole_run()[first_index(connection) : token_count], GARBAGE]
        connection.send(HEAD + CHUNKED + encode_chunk(b"".join(events)))
        connection.end()

    return answer


def whole_answer(connection):
    events = b"".join(whole_run()[first_index(connection) :])
    connection.send(HEAD + CHUNKED + encode_chunk(events) + b"0\r\n\r\n")


def first_index(connection):
    """Return the index of the first token that the request asks for."""
    if connection.body:
        continuation = json.loads(connection.body).get("continue_from")
        if continuation is None:
            return 0
        assert continuation["text"] == "".join(TEXTS[: continuation["tokens"]])
        return continuation["tokens"]
    return int(connection.head.partition(b"?from=")[2].partition(b"&")[0])


def status_answer(status):
    def answer(connection):
        connection.send(b"HTTP/1.1 %d -\r\nContent-Length: 2\r\n\r\nno" % status)

    return answer


@pytest.mark.parametrize("token_count", [0, 2, TOKEN_COUNT])
def test_request_goes_on_at_another_engine_after_garbage(token_count):
    answers = garbage_after(token_count), whole_answer
    with (
        raw_upstream(answers[0]) as first,
        raw_upstream(answers[1]) as second,
        Timeout(TEST_TIMEOUT_S),
    ):
        trial = Trial([first, second])
    assert (trial.texts, trial.has_ended, trial.error) == (TEXTS, True, None)
    assert trial.health.is_avoided("engine-0")
    assert not trial.health.is_avoided("engine-1")
    assert first.requests(b"POST /v1/cancel") == 1
    assert second.requests(b"POST /v1/chat") == 1


@pytest.mark.parametrize(
    ("token_count", "state"),
    [
        (0, ExecutionState.UNKNOWN),
        (2, ExecutionState.RAN),
        (TOKEN_COUNT, ExecutionState.RAN),
    ],
)
def test_request_that_no_engine_completes_does_not_count_as_not_run(token_count, state):
    answer = garbage_after(token_count)
    with raw_upstream(answer) as first, raw_upstream(answer) as second:
        with Timeout(TEST_TIMEOUT_S):
            trial = Trial([first, second])
    assert (trial.texts, trial.has_ended) == (TEXTS[:token_count], False)
    assert trial.error.execution_state is state
    assert trial.retry_count <= MAX_RETRIES
    assert trial.health.is_avoided("engine-0")
    assert trial.health.is_avoided("engine-1")


@pytest.mark.parametrize("status", [200, 201, 204, 206, 302, 600])
def test_status_that_is_no_error_counts_as_a_broken_stream(status):
    with raw_upstream(status_answer(status)) as upstream, Timeout(TEST_TIMEOUT_S):
        trial = Trial([upstream])
        assert upstream.requests(b"POST /v1/cancel") == 1
    assert trial.error.execution_state is ExecutionState.UNKNOWN
    assert trial.health.is_avoided("engine-0")


@pytest.mark.parametrize("status", [500, 502, 504, 507, 599])
def test_error_that_is_no_refusal_is_cancelled_and_not_counted_as_not_run(status):
    with raw_upstream(status_answer(status)) as upstream, Timeout(TEST_TIMEOUT_S):
        trial = Trial([upstream])
        assert upstream.requests(b"POST /v1/cancel") == 1
    assert trial.error.execution_state is ExecutionState.UNKNOWN


@pytest.mark.parametrize("status", [400, 404, 409, 429, 501, 503, 505])
def test_refusal_counts_as_not_run(status):
    with raw_upstream(status_answer(status)) as upstream, Timeout(TEST_TIMEOUT_S):
        trial = Trial([upstream])
    assert trial.error.execution_state is ExecutionState.NOT_RUN
    assert not trial.health.is_avoided("engine-0")
    assert upstream.requests(b"POST /v1/cancel") == 0


def test_run_is_cancelled_at_the_deadline_of_the_first_token():
    def answer(connection):
        connection.send(HEAD + CHUNKED)
        connection.send_endlessly(encode_chunk(b":\n\n"), 1_000, pause_ms=50)

    with raw_upstream(answer) as upstream, Timeout(TEST_TIMEOUT_S):
        trial = Trial([upstream])
        assert trial.error.code is ErrorCode.DEADLINE
        assert upstream.requests(b"POST /v1/cancel") == 1
