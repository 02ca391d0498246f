"""Streams of engines that send bytes that no run made."""

import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.errors import StreamInterrupted
from mulberryhub.upstream.messages import EngineRequest
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import (
    BODY,
    CHUNKED,
    HEAD,
    REQUEST_ID,
    TEXTS,
    TOKEN_COUNT,
    answer_chunked,
    answer_to_the_close,
    chunk,
    encode_chunk,
    engine_at,
    read_stream,
    whole_run,
    with_garbage,
)

PLACES = [0, 2, TOKEN_COUNT]
ANSWERS = [answer_chunked, answer_to_the_close]


@pytest.mark.parametrize("answer", ANSWERS)
def test_run_without_garbage_is_whole(answer):
    with raw_upstream(answer(b"".join(whole_run()))) as upstream:
        request = EngineRequest(REQUEST_ID, BODY)
        *tokens, end = EngineClient(Counters()).open(engine_at(upstream), request)
    assert [token.text for token in tokens] == TEXTS
    assert end.finish_reason == "length"


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(
    "block",
    [
        b"data: %(chunk)s",
        b"id: \ndata: %(chunk)s",
        b"id\ndata: %(chunk)s",
        b"id: %(index)d",
        b"id: %(index)d\ndata: {}\ndata: %(chunk)s",
        b"id: x\nid: %(index)d\ndata: %(chunk)s",
        b"id: %(index)d\ndata: %(chunk)s\nnoise",
        b"noise\nid: %(index)d\ndata: %(chunk)s",
        b"event: error\nid: %(index)d\ndata: %(chunk)s",
        b"id: -1\ndata: %(chunk)s",
        b"id: +%(index)d\ndata: %(chunk)s",
        b"id: 0_%(index)d\ndata: %(chunk)s",
        b"id: %(index)d \ndata: %(chunk)s",
        b"id: \xd9\xa2\ndata: %(chunk)s",
        b"id: x\ndata: %(chunk)s",
        b"id: \xff\ndata: %(chunk)s",
        b"id: %(index)d\ndata: [DONE]",
        b"\x00\x01\x02\xff",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2",
    ],
)
def test_event_that_is_malformed_ends_the_stream_as_failed(block, place, answer):
    garbage = block % {b"chunk": chunk(), b"index": place} + b"\n\n"
    expected = (TEXTS[:place], False)
    assert read_stream(answer(with_garbage(garbage, place))) == expected


def test_connection_is_closed_after_garbage_behind_tokens():
    def answer(connection):
        connection.send(HEAD + CHUNKED + encode_chunk(with_garbage(b"x\n\n", 2)))
        was_closed.append(not connection.read_request())

    was_closed = []
    request = EngineRequest(REQUEST_ID, BODY)
    with raw_upstream(answer) as upstream:
        stream = EngineClient(Counters()).open(engine_at(upstream), request)
        assert [token.text for token in stream.read_available()] == TEXTS[:2]
        with pytest.raises(StreamInterrupted):
            stream.read_available()
        sleep(0.05)
    assert was_closed == [True]
