from types import SimpleNamespace

import pytest

from mulberryhub.gateway.engine_tries import (
    MAX_TRIES_PER_ENGINE,
    open_stream,
    resume_or_failure,
    resume_stream,
)
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineTimeout,
    StreamInterrupted,
    StreamNotFound,
)


class ScriptedClient:
    """Returns or raises one result after the other, and records the calls."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    def open(self, upstream, engine_request):
        return self._next_result("open")

    def resume(self, upstream, engine_request):
        return self._next_result("resume")

    def _next_result(self, call):
        self.calls.append(call)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def open_scripted(client):
    """Return the stream, or the failure, and how often the request was sent."""
    sent = []
    try:
        stream = open_stream(
            client, None, None, lambda: sent.append(1), lambda failure: None
        )
    except (ConnectFailed, EngineTimeout, StreamInterrupted) as failure:
        stream = failure
    return stream, len(sent)


def test_broken_stream_is_resumed_and_not_run_again_on_its_engine():
    client = ScriptedClient(StreamInterrupted("cut"), "stream")
    assert open_scripted(client) == ("stream", 1)
    assert client.calls == ["open", "resume"]


def test_engine_without_the_stream_gets_the_request_again():
    client = ScriptedClient(StreamInterrupted("cut"), StreamNotFound("none"), "stream")
    assert open_scripted(client) == ("stream", 1)
    assert client.calls == ["open", "resume", "open"]


@pytest.mark.parametrize(
    "failure, count",
    [(EngineTimeout("silent"), 2), (StreamInterrupted("cut"), MAX_TRIES_PER_ENGINE)],
)
def test_silent_engine_is_given_up_sooner_than_one_that_breaks_off(failure, count):
    client = ScriptedClient(*[failure] * count)
    assert open_scripted(client) == (failure, count)
    assert len(client.calls) == count


def test_request_that_found_no_connection_counts_as_not_sent():
    failure = ConnectFailed("refused")
    assert open_scripted(ScriptedClient(failure)) == (failure, 0)


def test_stream_of_another_start_of_the_engine_is_closed():
    closed = []
    stream = SimpleNamespace(incarnation="2", close=lambda: closed.append(1))
    with pytest.raises(StreamNotFound) as raised:
        resume_stream(ScriptedClient(stream), None, None, "1")
    assert raised.value.incarnation == "2"
    assert closed


def test_failure_to_resume_is_returned_after_the_last_try():
    client = ScriptedClient(*[StreamInterrupted("cut")] * (MAX_TRIES_PER_ENGINE - 1))
    retries = []
    failure = resume_or_failure(lambda: client.resume(None, None), retries.append)
    assert isinstance(failure, StreamInterrupted)
    assert len(retries) == MAX_TRIES_PER_ENGINE - 1
