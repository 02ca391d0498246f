"""Streams of engines that send bytes that no run made."""

import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.upstream.engine import EngineClient
from mulberryhub.upstream.messages import EngineRequest
from tests.support.raw_upstream import raw_upstream
from tests.upstream.raw_engine import (
    BODY,
    REQUEST_ID,
    TEXTS,
    answer_chunked,
    answer_to_the_close,
    engine_at,
    whole_run,
)

ANSWERS = [answer_chunked, answer_to_the_close]


@pytest.mark.parametrize("answer", ANSWERS)
def test_run_without_garbage_is_whole(answer):
    with raw_upstream(answer(b"".join(whole_run()))) as upstream:
        request = EngineRequest(REQUEST_ID, BODY)
        *tokens, end = EngineClient(Counters()).open(engine_at(upstream), request)
    assert [token.text for token in tokens] == TEXTS
    assert end.finish_reason == "length"
