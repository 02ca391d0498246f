"""Streams of engines whose answers have a wrong or another framing."""

import pytest

from tests.upstream.raw_engine import (
    HEAD,
    TEXTS,
    encode_chunk,
    read_stream,
    token_events,
    whole_run,
)

RUN = b"".join(whole_run())
TOKENS = b"".join(token_events())


def answer_with(fields, body):
    def answer(connection):
        connection.send(HEAD + fields + b"\r\n" + body)
        connection.end()

    return answer


@pytest.mark.parametrize(
    "fields",
    [
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    ],
)
def test_body_in_an_unknown_coding_is_no_stream(fields):
    body = encode_chunk(RUN) + b"0\r\n\r\n"
    assert read_stream(answer_with(fields, body)) == ([], False)


@pytest.mark.parametrize(
    "length", [b"x", b"-1", b"+5", b"1_0", b"", b"5, 6", b"99999999999999999999"]
)
def test_malformed_length_is_no_stream(length):
    fields = b"Content-Length: %s\r\n" % length
    assert read_stream(answer_with(fields, RUN)) == ([], False)


def test_bytes_behind_the_stated_length_are_no_part_of_the_stream():
    fields = b"Content-Length: %d\r\n" % len(TOKENS)
    assert read_stream(answer_with(fields, RUN)) == (TEXTS, False)


@pytest.mark.parametrize("content_type", [b"application/json", b"text/html", b""])
def test_answer_that_is_no_event_stream_is_no_stream(content_type):
    field = b"Content-Type: %s\r\n" % content_type

    def answer(connection):
        head = HEAD.replace(b"Content-Type: text/event-stream\r\n", field)
        connection.send(head + b"\r\n" + RUN)
        connection.end()

    assert read_stream(answer) == ([], False)
