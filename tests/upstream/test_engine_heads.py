"""Engines that answer with heads that are malformed, endless or slow."""

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.errors import EngineFailure, EngineTimeout
from mulberryhub.upstream.messages import EngineRequest
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import (
    BODY,
    CHUNKED,
    HEAD,
    IDLE_TIMEOUT_MS,
    REQUEST_ID,
    TEXTS,
    answer_to_the_close,
    encode_chunk,
    engine_at,
    read_stream,
    whole_run,
)

ENDLESS_BYTES = 32 * 1_048_576
MAX_TAKEN_BYTES = 8 * 1_048_576  # by the router and by the buffers of both sockets
TEST_TIMEOUT_S = 10
MAX_DELAY_MS = 2_000  # of a timer on a busy machine
REQUEST = EngineRequest(REQUEST_ID, BODY, idle_timeout=IDLE_TIMEOUT_MS)
RUN = encode_chunk(b"".join(whole_run()))


def open_failure(answer):
    """Return the failure and the bytes that were taken."""
    with raw_upstream(answer) as upstream, Timeout(TEST_TIMEOUT_S):
        with pytest.raises(EngineFailure) as raised:
            EngineClient(Counters()).open(engine_at(upstream), REQUEST)
        sleep(0.05)
        return raised.value, upstream.sent_bytes


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"\x00\xff" * 4_096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 400),
        (b"HTTP/1.1 ", b"2" * 8_192),
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 8_192),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: %s\r\n" % (b"a" * 8_192)),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 1_000),
        (b"HTTP/1.1 500 Error\r\n\r\n", b"a" * 8_192),
        (b"HTTP/1.1 500 Error\r\n" + CHUNKED + b"-1\r\n", b"a" * 8_192),
        (b"HTTP/1.1 500 Error\r\n" + CHUNKED, b"1\r\na\r\n" * 1_000),
        (b"HTTP/1.1 500 Error\r\n" + CHUNKED + b"0\r\n", b"a: b\r\n" * 1_000),
    ],
)
def test_endless_head_or_error_is_not_read_on(start, piece):
    def answer(connection):
        connection.send(start)
        connection.send_endlessly(piece, ENDLESS_BYTES)

    _, taken_bytes = open_failure(answer)
    assert taken_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    "piece", [b"X-A: a\r\n", b"a", b"HTTP/1.1 100 Continue\r\n\r\n"]
)
def test_head_that_never_ends_times_out(piece):
    def answer(connection):
        if piece.startswith(b"X"):
            connection.send(b"HTTP/1.1 200 OK\r\n")
        connection.send_endlessly(piece, 200 * len(piece), pause_ms=50)

    started_at = Clock().now()
    failure, _ = open_failure(answer)
    assert isinstance(failure, EngineTimeout)
    assert Clock().now() - started_at < IDLE_TIMEOUT_MS + MAX_DELAY_MS


def test_head_may_take_as_long_as_tokens_may():
    def answer(connection):
        sleep(1.3)
        answer_to_the_close(b"".join(whole_run()))(connection)

    with raw_upstream(answer) as upstream:
        request = EngineRequest(REQUEST_ID, BODY, idle_timeout=3_000)
        *tokens, _ = EngineClient(Counters()).open(engine_at(upstream), request)
    assert [token.text for token in tokens] == TEXTS


@pytest.mark.parametrize(
    "field", [b"X-Load: garbage", b"X-Load: []", b"X-Load: \xff", b"X-Load: {"]
)
def test_malformed_load_does_not_break_the_request(field):
    def answer(connection):
        connection.send(HEAD + field + b"\r\n" + CHUNKED + RUN)

    with raw_upstream(answer) as upstream:
        *tokens, _ = EngineClient(Counters()).open(engine_at(upstream), REQUEST)
    assert [token.text for token in tokens] == TEXTS


@pytest.mark.parametrize("incarnation", [b"i" * 129, b"i 1", b"\xe9"])
def test_malformed_incarnation_is_no_stream(incarnation):
    def answer(connection):
        head = HEAD.replace(b"X-Incarnation: i1", b"X-Incarnation: " + incarnation)
        connection.send(head + CHUNKED + RUN)

    assert read_stream(answer) == ([], False)


@pytest.mark.parametrize(
    "head",
    [
        b"\r\n\r\n",
        b"garbage\r\n\r\n",
        b"HTTP/2 200 OK\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ngarbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\xff\xfe: a\r\n\r\n",
        HEAD.replace(b"r1", b"r2") + CHUNKED + RUN,
        HEAD.replace(b"X-Request-Id: r1", b"X-A: r1") + CHUNKED + RUN,
        HEAD.replace(b"X-Request-Id: r1\r\n", b"X-Request-Id: r1\r\n" * 2) + CHUNKED,
    ],
)
def test_head_that_is_no_answer_to_the_request_is_no_stream(head):
    def answer(connection):
        connection.send(head)
        connection.end()

    assert read_stream(answer) == ([], False)
