"""Streams of engines that send JSON that is no chunk of the run."""

import json

import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.messages import EngineRequest
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import (
    BODY,
    DONE,
    REQUEST_ID,
    TEXTS,
    TOKEN_COUNT,
    answer_chunked,
    chunk,
    end_event,
    engine_at,
    event,
    read_stream,
    token_events,
    usage,
    with_garbage,
)

PLACES = [0, 2, TOKEN_COUNT]


def choice(**changes):
    delta = {"content": " foreign"}
    return {"index": 0, "delta": delta, "finish_reason": None, **changes}


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(
    "data",
    [
        b"garbage",
        b"[]",
        b"null",
        b"{}",
        json.dumps({"id": REQUEST_ID}).encode(),
        chunk("\udc00"),
        chunk().replace(b"foreign", b"\xff\xfe"),
        chunk(choices=[]),
        chunk(choices=None),
        chunk(choices=[{}]),
        chunk(choices=[choice(), choice()]),
        chunk(choices=[choice(index=1)]),
        chunk(choices=[choice(delta=None)]),
        chunk(choices=[choice(delta={})]),
        chunk(choices=[choice(delta={"content": None})]),
        chunk(choices=[choice(delta={"content": 5})]),
        chunk(choices=[{"index": 0, "text": " foreign", "finish_reason": None}]),
        chunk(choices=[choice(finish_reason=5)]),
        chunk(choices=[choice(finish_reason="")]),
        chunk(usage=[]),
        chunk(usage={"prompt_tokens": "3"}),
        chunk(usage={"prompt_tokens": -3}),
        chunk(usage={"prompt_tokens": 10**15}),
        chunk(usage={"prompt_tokens_details": None}),
        chunk(id="r2"),
        chunk(id=""),
    ],
)
def test_chunk_of_another_shape_ends_the_stream_as_failed(data, place):
    garbage = event(place, data)
    expected = (TEXTS[:place], False)
    assert read_stream(answer_chunked(with_garbage(garbage, place))) == expected


@pytest.mark.parametrize(
    "end",
    [
        end_event(index=3),
        end_event(index=3, usage=usage(3)) * 2,
        end_event(index=7, usage=usage(7)),
        end_event(usage=usage(3)),
        end_event(usage=usage(7)),
        end_event(usage=usage(0)),
        end_event(usage=None),
        end_event(choices=[choice(finish_reason="length")]),
        DONE,
        DONE + end_event(),
    ],
)
def test_end_that_does_not_fit_the_tokens_is_not_the_end(end):
    data = b"".join([*token_events(), end, DONE])
    assert read_stream(answer_chunked(data)) == (TEXTS, False)


def test_events_behind_the_end_are_no_part_of_the_stream():
    data = b"".join([*token_events(), end_event(), event(5, chunk()), b"x\n\n", DONE])
    with raw_upstream(answer_chunked(data)) as upstream:
        request = EngineRequest(REQUEST_ID, BODY)
        stream = EngineClient(Counters()).open(engine_at(upstream), request)
        items = list(stream)
    assert [item.text for item in items[:-1]] == TEXTS
    assert items[-1].finish_reason == "length"


def test_text_completion_takes_no_chat_chunk():
    request = EngineRequest(REQUEST_ID, {"prompt": "a"}, is_chat=False)
    data = event(0, chunk())
    assert read_stream(answer_chunked(data), request) == ([], False)
