"""Engines that answer cancellations, orders and load queries with garbage."""

import gzip
import json

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.order_client import OrderClient
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import engine_at
from tests.upstream.test_engine_monitor import make_engine_monitor

ENDLESS_BYTES = 32 * 1_048_576
MAX_TAKEN_BYTES = 8 * 1_048_576  # by the router and by the buffers of both sockets
MAX_CALL_MS = 7_000
TEST_TIMEOUT_S = 9
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LOAD = {"incarnation": "i1", "time": 1, "models": {"m": "2"}}


def cancel(engine):
    counters = Counters()
    EngineClient(counters).cancel(engine, "r1")
    return "upstream.cancel_failed" not in counters.by_name


def send_order(engine):
    return OrderClient().send(engine, {"kind": "load"}) != 0


def read_versions(engine):
    return OrderClient().read_versions(engine) is not None


def poll(engine):
    engine_monitor, policy, health = make_engine_monitor(engine.address)
    engine_monitor._poll(engine)
    assert health.is_avoided("e1") != bool(policy.reports)
    return bool(policy.reports)


GZIPPED_LOAD = gzip.compress(json.dumps(LOAD).encode())
CALLS = [cancel, send_order, read_versions, poll]


def make_call(call, answer):
    """Return whether `call` succeeded, the bytes taken and after which time in ms."""
    started_at = Clock().now()
    with raw_upstream(answer) as upstream, Timeout(TEST_TIMEOUT_S):
        has_succeeded = call(engine_at(upstream))
        elapsed = Clock().now() - started_at
        sleep(0.05)
        return has_succeeded, upstream.sent_bytes, elapsed


def answer_with(data):
    def answer(connection):
        connection.send(data)
        connection.end()

    return answer


def json_answer(document, status=b"200 OK"):
    body = json.dumps(document).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
        (OK, b"X-A: %s\r\n" % (b"a" * 8_192)),
        (OK + b"\r\n", b" " * 8_192),
        (OK + b"Content-Length: 99999999999\r\n\r\n", b" " * 8_192),
        (CHUNKED, b"1\r\n \r\n" * 1_000),
        (CHUNKED + b"-1\r\n", b" " * 8_192),
        (CHUNKED + b"fffffff\r\n", b" " * 8_192),
        (CHUNKED + b"0\r\n", b"a: b\r\n" * 1_000),
    ],
)
def test_endless_answer_is_not_read_on(start, piece, call):
    def answer(connection):
        connection.send(start)
        connection.send_endlessly(piece, ENDLESS_BYTES)

    has_succeeded, taken_bytes, _ = make_call(call, answer)
    assert not has_succeeded
    assert taken_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("start", [b"", OK + b"\r\n"])
def test_answer_that_never_ends_times_out(start, call):
    def answer(connection):
        connection.send(start)
        connection.send_endlessly(b" ", 160, pause_ms=50)

    has_succeeded, _, elapsed = make_call(call, answer)
    assert not has_succeeded
    assert elapsed < MAX_CALL_MS


@pytest.mark.parametrize("call", [read_versions, poll])
@pytest.mark.parametrize(
    "data",
    [
        json_answer({"error": "restarting"}, b"500 Error"),
        json_answer(LOAD, b"503 Unavailable"),
        json_answer({"error": "unknown path"}, b"404 Not Found"),
        json_answer({}),
        json_answer([]),
        json_answer({**LOAD, "incarnation": ""}),
        json_answer({**LOAD, "incarnation": "i" * 129}),
        json_answer({**LOAD, "incarnation": "i 1"}),
        json_answer({**LOAD, "running": -1}),
        json_answer({**LOAD, "queued_tokens": 10**16}),
        json_answer({**LOAD, "time": -1}),
        json_answer({**LOAD, "models": {"m": 2}}),
        json_answer(LOAD).replace(b"i1", b"\xff"),
        json_answer(LOAD)[:-1],
        CHUNKED + b"2\r\n{}\r\n",
        OK + b"Content-Encoding: gzip\r\n\r\n" + GZIPPED_LOAD,
        b"garbage",
    ],
)
def test_answer_that_is_no_load_is_a_failure(data, call):
    assert make_call(call, answer_with(data))[0] is False


@pytest.mark.parametrize("call", CALLS)
def test_load_is_an_answer(call):
    assert make_call(call, answer_with(json_answer(LOAD)))[0] is True
