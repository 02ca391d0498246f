import pytest

from mulberryhub.adapter.dialect import (
    MAX_PAUSE_MS,
    attempt_request,
    read_answer,
    read_call,
    retry_after,
)
from mulberryhub.fleet.records import Workspace
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.refusal import Refusal
from mulberryhub.http.messages import Headers, Request, ResponseHead
from tests.forward.fakes import make_upstream

PREFIX = b"X-Mulberryhub-"


def make_request(*pairs, body=b"body"):
    headers = Headers.from_pairs([(b"Host", b"H.example:80"), *pairs])
    return Request(b"POST", b"/a/b?c=d", headers, body, arrived_at=1_000)


def sent(request, **attempt_values):
    call = read_call(request)
    attempt = Attempt(make_upstream("u1"), Workspace("w", ["k"]), 2)
    attempt.time_left = 700
    for name, value in attempt_values.items():
        setattr(attempt, name, value)
    return attempt_request(call, attempt)


def test_a_call_has_what_its_headers_declare():
    call = read_call(
        make_request(
            (PREFIX + b"Attempt-Id", b"id-1"),
            (PREFIX + b"Deadline-Ms", b"4000"),
            (PREFIX + b"Model", b"m"),
            (PREFIX + b"Token-Count", b"1460,80"),
            (PREFIX + b"Prompt-Prefix", b"5c:800,91:410,e4:250"),
            (b"Authorization", b"Bearer k"),
        )
    )
    assert (call.id, call.host, call.path, call.api_key) == (
        "id-1",
        "H.example",
        "/a/b",
        "k",
    )
    assert call.deadline == 5_000
    assert (call.prompt_tokens, call.output_tokens) == (1_460, 80)
    assert [(part.id, part.tokens) for part in call.shared_parts] == [
        ("5c", 800),
        ("91", 410),
    ]


@pytest.mark.parametrize(
    "pairs",
    [
        [(PREFIX + b"Token-Count", b"many")],
        [(PREFIX + b"Deadline-Ms", b"soon")],
        [(PREFIX + b"Prompt-Prefix", b"5c")],
        [(PREFIX + b"Attempt-Id", b"a"), (PREFIX + b"Attempt-Id", b"b")],
        [(b"Authorization", b"Bearer a"), (b"Authorization", b"Bearer b")],
    ],
)
def test_what_cannot_be_read_is_a_bad_request(pairs):
    with pytest.raises(Refusal) as refused:
        read_call(make_request(*pairs))
    assert refused.value.reason.status == 400


def test_what_routers_set_is_never_the_clients():
    names = [
        *(b"Tenant", b"Cache-Salt", b"Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-Fetch"),
        *(b"Kv-Save", b"Expect-Instance", b"Expect-Version", b"Request-Priority"),
    ]
    pairs = [(PREFIX + name, b"theirs") for name in names]
    pairs += [(b"Kv-From", b"theirs"), (b"Authorization", b"Bearer k")]
    request = sent(make_request(*pairs))
    assert b"theirs" not in b" ".join(field.value for field in request.headers.fields)
    assert request.headers.get(b"authorization") is None
    assert request.headers.get_all(PREFIX.lower() + b"tenant") == [b"w"]


def test_headers_of_one_connection_stay_behind():
    request = sent(
        make_request(
            (b"Connection", b"close, X-Mine, X-Mulberryhub-Attempt-Id"),
            (b"X-Mine", b"1"),
            (PREFIX + b"Attempt-Id", b"id-1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Other", b"2"),
        )
    )
    names = {field.name for field in request.headers.fields}
    assert not names & {b"connection", b"x-mine", b"transfer-encoding"}
    assert request.headers.get(b"x-other") == b"2"
    assert request.headers.get(PREFIX.lower() + b"attempt-id") == b"id-1"
    assert request.headers.get(b"content-length") == b"4"


def test_a_resumed_stream_names_the_last_event_once():
    request = sent(make_request((b"Last-Event-Id", b"3")), last_event_id=b"7")
    assert request.headers.get_all(b"last-event-id") == [b"7"]


def answer(status, *pairs):
    return read_answer(ResponseHead(status, Headers.from_pairs(pairs)), None)


def test_answers_that_promise_not_run():
    assert answer(503, (PREFIX + b"Not-Executed", b"1")).not_run
    facts = answer(421, (PREFIX + b"Instance-Id", b"u2"))
    assert facts.not_run and facts.actual_upstream_id == "u2"
    assert not answer(503).not_run
    assert not answer(500).not_run


def test_an_answer_tells_that_its_worker_leaves():
    assert answer(200, (b"Server-Leaving", b"1")).is_shutting_down
    assert not answer(200).is_shutting_down
    assert not answer(200, (b"Server-Leaving", b"0")).is_shutting_down


@pytest.mark.parametrize(
    "status, value, pause",
    [
        (503, b"2", 2_000),
        (503, b"0.25", 250),
        (503, b"1e300", MAX_PAUSE_MS),
        (503, b"inf", MAX_PAUSE_MS),
        (503, b"nan", None),
        (503, b"-1", None),
        (503, b"", None),
        (503, b"soon", None),
        (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None),
        (429, b"2", None),
        (200, b"2", None),
    ],
)
def test_the_pause_that_a_full_worker_asks_for(status, value, pause):
    assert answer(status, (b"Retry-After", value)).pause == pause


def test_an_encoded_answer_is_not_sealed():
    seal = (PREFIX + b"Response-Seal", b"s")
    assert answer(200, seal).is_sealed
    assert not answer(200, seal, (b"Content-Encoding", b"gzip")).is_sealed
    assert not answer(200).is_sealed


def test_the_time_to_come_back_is_in_seconds():
    assert retry_after(250).get(b"retry-after") == b"0.250"
