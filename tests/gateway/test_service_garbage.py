"""What follows for a request if a service sends garbage."""

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.errors import ErrorCode, ExecutionState
from mulberryhub.orders.idempotency import new_idempotency_key
from tests.gateway.http_requests import make_request
from tests.gateway.test_service_routes import (
    CLIENT_KEY,
    handle_error,
    make_order,
    make_service_routes,
)
from tests.support.raw_upstream import raw_upstream

OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"
GARBAGE = [
    b"garbage\r\n\r\n",
    OK + b"Content-Length: 10\r\n\r\ncut",
    OK + b"Content-Length: -3\r\n\r\ncut",
    OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\ncutgarbage",
    OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n",
    OK + b"X-Request-Id: another\r\nContent-Length: 3\r\n\r\ncut",
    b"HTTP/1.1 103 Early Hints\r\n\r\ngarbage\r\n\r\n",
]


def answer_with(data):
    def answer(connection):
        connection.send(data)
        connection.end()

    return answer


def make_stock_request():
    return make_request("GET", "/stock", headers=[("X-Api-Key", CLIENT_KEY)])


@pytest.mark.parametrize("data", GARBAGE)
def test_garbage_is_no_outcome_of_an_order(data):
    key = new_idempotency_key(Clock().wall())
    with raw_upstream(answer_with(data)) as upstream:
        service_routes, _ = make_service_routes(upstream.address)
        codes = [handle_error(service_routes, make_order(key)) for _ in range(2)]
        assert upstream.requests(b"POST /orders") == 1
    assert codes == [
        (ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN),
        (ErrorCode.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN),
    ]


@pytest.mark.parametrize("data", GARBAGE)
def test_idempotent_request_is_answered_by_another_service_after_garbage(data):
    with (
        raw_upstream(answer_with(data)) as first,
        raw_upstream(answer_with(WHOLE)) as second,
    ):
        service_routes, _ = make_service_routes(first.address, second.address)
        bodies = {service_routes.handle(make_stock_request()).body for _ in range(8)}
        assert first.heads
    assert bodies == {b"whole"}


def test_interim_responses_are_no_answer():
    data = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 2 + WHOLE
    with raw_upstream(answer_with(data)) as upstream:
        service_routes, _ = make_service_routes(upstream.address)
        response = service_routes.handle(make_stock_request())
    assert (response.status, response.body) == (200, b"whole")
