import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.config.inventory import Upstream
from mulberryhub.standins.engine_text import answer_text
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.errors import ConnectFailed, StreamNotFound
from mulberryhub.upstream.messages import EngineRequest, StreamEnd, Token

BODY = {
    "model": "m",
    "max_tokens": 12,
    "messages": [{"role": "user", "content": "which door " * 40}],
}


@pytest.fixture
def engine(fleet):
    arguments = ["--block-tokens", 10, "--token-time", 2]
    process = fleet.start("mulberryhub.standins.engine", "127.0.0.1:0", *arguments)
    return Upstream("e1", "engine", "bkk1", process.address)


@pytest.fixture
def client():
    return EngineClient(Counters())


def joined_text(items):
    return "".join(item.text for item in items if isinstance(item, Token))


def test_stream_yields_the_whole_response(engine, client):
    items = list(client.open(engine, EngineRequest("r1", BODY)))
    assert joined_text(items) == answer_text(BODY, 12)
    assert [item.index for item in items[:-1]] == list(range(12))
    assert items[-1].finish_reason == "length"
    assert items[-1].usage.completion_tokens == 12


def test_text_completions(engine, client):
    body = {"model": "m", "prompt": "which door", "max_tokens": 5}
    items = list(client.open(engine, EngineRequest("r1", body, is_chat=False)))
    assert joined_text(items) == answer_text(body, 5)


def test_prompt_prefix_is_cached_within_a_scope(engine, client):
    for request_id, scope, cached in [("a", "s", 0), ("b", "s", 80), ("c", "t", 0)]:
        *_, end = client.open(
            engine, EngineRequest(request_id, BODY, cache_scope=scope)
        )
        assert isinstance(end, StreamEnd)
        assert end.usage.cached_tokens == cached


def test_continued_response_starts_after_the_delivered_tokens(engine, client):
    request = EngineRequest(
        "r1", BODY, delivered_text=answer_text(BODY, 7), delivered_tokens=7
    )
    items = list(client.open(engine, request))
    assert items[0].index == 7
    assert request.delivered_text + joined_text(items) == answer_text(BODY, 12)


def test_resumed_stream_continues_after_the_tokens_read(engine, client):
    request = EngineRequest("r1", BODY)
    stream = client.open(engine, request)
    first = [next(stream) for _ in range(3)]
    request.delivered_tokens = 3
    items = first + list(client.resume(engine, request))
    assert joined_text(items) == answer_text(BODY, 12)
    with pytest.raises(StreamNotFound):
        client.resume(engine, EngineRequest("other", BODY))


def test_refused_connection_counts_as_not_sent(client):
    engine = Upstream("e1", "engine", "bkk1", "127.0.0.1:1")
    with pytest.raises(ConnectFailed) as raised:
        client.open(engine, EngineRequest("r1", BODY))
    assert not raised.value.may_have_been_sent
