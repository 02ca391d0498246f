"""Answers of a RawUpstream in the interface of engines."""

import json

from mulberryhub.base.counters import Counters
from mulberryhub.config.inventory import Upstream
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.errors import EngineFailure
from mulberryhub.upstream.messages import EngineRequest, Token
from tests.support.raw_upstream import raw_upstream

REQUEST_ID = "r1"
IDLE_TIMEOUT_MS = 300
BODY = {"model": "m", "max_tokens": 5, "messages": [{"role": "user", "content": "a"}]}
TOKEN_COUNT = 5
TEXTS = [f" t{index}" for index in range(TOKEN_COUNT)]
DONE = b"data: [DONE]\n\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: r1\r\nX-Incarnation: i1\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
TO_THE_CLOSE = b"Connection: close\r\n\r\n"


def engine_at(upstream):
    return Upstream("e1", "engine", "dc", upstream.address)


def chunk(text=" foreign", **changes):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    document = {"id": REQUEST_ID, "choices": [choice], **changes}
    return json.dumps(document).encode()


def event(index, data):
    return b"id: %d\ndata: %s\n\n" % (index, data)


def token_events(start=0, end=TOKEN_COUNT):
    return [event(index, chunk(TEXTS[index])) for index in range(start, end)]


def usage(completion_tokens=TOKEN_COUNT):
    return {
        "prompt_tokens": 3,
        "completion_tokens": completion_tokens,
        "prompt_tokens_details": {"cached_tokens": 0},
    }


def end_event(index=TOKEN_COUNT, **changes):
    choice = {"index": 0, "delta": {}, "finish_reason": "length"}
    values = {"choices": [choice], "usage": usage(), **changes}
    return event(index, chunk(**values))


def whole_run():
    return [*token_events(), end_event(), DONE]


def with_garbage(garbage, place):
    """Return the events of a run with `garbage` before the event `place`."""
    events = whole_run()
    return b"".join([*events[:place], garbage, *events[place:]])


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer_chunked(body):
    def answer(connection):
        connection.send(HEAD + CHUNKED + encode_chunk(body) + b"0\r\n\r\n")

    return answer


def answer_to_the_close(body):
    def answer(connection):
        connection.send(HEAD + TO_THE_CLOSE + body)
        connection.end()

    return answer


def read_stream(answer, request=None):
    """Return the texts and whether there was an end before the stream's failure."""
    request = request or EngineRequest(REQUEST_ID, BODY, idle_timeout=IDLE_TIMEOUT_MS)
    texts, ends = [], []
    with raw_upstream(answer) as upstream:
        try:
            for item in EngineClient(Counters()).open(engine_at(upstream), request):
                if isinstance(item, Token):
                    texts.append(item.text)
                else:
                    ends.append(item)
        except EngineFailure:
            return texts, bool(ends)
    raise AssertionError(f"no failure after {texts}, {ends}")
