"""Engines whose streams go on without tokens."""

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
    TO_THE_CLOSE,
    encode_chunk,
    engine_at,
    token_events,
)

ENDLESS_BYTES = 32 * 1_048_576
MAX_TAKEN_BYTES = 8 * 1_048_576  # by the router and by the buffers of both sockets
FIRST_TOKEN_TIMEOUT_MS = 1_000
SLOW_MS = 50
SLOW_COUNT = 160
TEST_TIMEOUT_S = 10
MAX_DELAY_MS = 2_000  # of a timer on a busy machine
TOKEN = b"".join(token_events(0, 1))


def read_failure(answer):
    """Return the failure of a stream, the bytes taken, and after which time in ms."""
    request = EngineRequest(
        REQUEST_ID,
        BODY,
        idle_timeout=IDLE_TIMEOUT_MS,
        first_token_timeout=FIRST_TOKEN_TIMEOUT_MS,
    )
    started_at = Clock().now()
    with raw_upstream(answer) as upstream, Timeout(TEST_TIMEOUT_S):
        with pytest.raises(EngineFailure) as raised:
            list(EngineClient(Counters()).open(engine_at(upstream), request))
        elapsed = Clock().now() - started_at
        sleep(0.05)
        return raised.value, upstream.sent_bytes, elapsed


ENDLESS_PIECES = [b":\n\n", b"\n", b": comment\n", b"x", b"data: x\n"]
SLOW_PIECES = [b":\n\n", b"\n", b"x"]


def at_the_start_and_after_a_token(pieces):
    """Return pairs of what a stream begins with and what repeats; also the token."""
    starts = [(start, piece) for start in (b"", TOKEN) for piece in pieces]
    return [*starts, (TOKEN, TOKEN)]


@pytest.mark.parametrize(
    ("start", "piece"), at_the_start_and_after_a_token(ENDLESS_PIECES)
)
@pytest.mark.parametrize("is_chunked", [True, False])
def test_stream_without_tokens_is_not_read_on(start, piece, is_chunked):
    def answer(connection):
        encode = encode_chunk if is_chunked else bytes
        connection.send(HEAD + (CHUNKED if is_chunked else TO_THE_CLOSE))
        connection.send(encode(start) if start else b"")
        connection.send_endlessly(encode(piece * 1_000), ENDLESS_BYTES)

    _, taken_bytes, _ = read_failure(answer)
    assert taken_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize("piece", [b"x" * 8_192, b"%x\r\n" % 0xFFFFFFF + b"x" * 8_192])
def test_chunk_without_an_end_is_not_read_on(piece):
    def answer(connection):
        connection.send(HEAD + CHUNKED + b"fffffff\r\n")
        connection.send_endlessly(piece, ENDLESS_BYTES)

    _, taken_bytes, _ = read_failure(answer)
    assert taken_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    ("start", "piece"), at_the_start_and_after_a_token(SLOW_PIECES)
)
def test_slow_bytes_without_a_token_time_out(start, piece):
    def answer(connection):
        connection.send(HEAD + TO_THE_CLOSE + start)
        connection.send_endlessly(piece, SLOW_COUNT * len(piece), pause_ms=SLOW_MS)

    failure, _, elapsed = read_failure(answer)
    assert isinstance(failure, EngineTimeout)
    assert elapsed < FIRST_TOKEN_TIMEOUT_MS + MAX_DELAY_MS
