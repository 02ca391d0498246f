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

HEADER_PREFIX = b"X-Mulberryhub-"


def make_request(*pairs, body=b"body"):
    headers = Headers.from_pairs([(b"Host", b"H.example:80"), *pairs])
    return Request(b"POST", b"/a/b?c=d", headers, body, arrived_at=1_000)


def translate(request, **attempt_values):
    call = read_call(request)
    attempt = Attempt(make_upstream("u1"), Workspace("w", ["k"]), 2)
    attempt.time_left = 700
    for name, value in attempt_values.items():
        setattr(attempt, name, value)
    return attempt_request(call, attempt)


def test_call_has_values_of_headers():
    call = read_call(
        make_request(
            (HEADER_PREFIX + b"Attempt-Id", b"id-1"),
            (HEADER_PREFIX + b"Deadline-Ms", b"4000"),
            (HEADER_PREFIX + b"Model", b"m"),
            (HEADER_PREFIX + b"Token-Count", b"1460,80"),
            (HEADER_PREFIX + b"Prompt-Prefix", b"5c:800,91:410,e4:250"),
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
        [(HEADER_PREFIX + b"Token-Count", b"many")],
        [(HEADER_PREFIX + b"Deadline-Ms", b"soon")],
        [(HEADER_PREFIX + b"Prompt-Prefix", b"5c")],
        [(HEADER_PREFIX + b"Attempt-Id", b"a"), (HEADER_PREFIX + b"Attempt-Id", b"b")],
        [(b"Authorization", b"Bearer a"), (b"Authorization", b"Bearer b")],
    ],
)
def test_malformed_header_is_bad_request(pairs):
    with pytest.raises(Refusal) as caught:
        read_call(make_request(*pairs))
    assert caught.value.reason.status == 400


def test_router_headers_of_client_are_dropped():
    names = [
        *(b"Tenant", b"Cache-Salt", b"Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-Fetch"),
        *(b"Kv-Save", b"Expect-Instance", b"Expect-Version", b"Request-Priority"),
    ]
    pairs = [(HEADER_PREFIX + name, b"theirs") for name in names]
    pairs += [(b"Kv-From", b"theirs"), (b"Authorization", b"Bearer k")]
    request = translate(make_request(*pairs))
    assert b"theirs" not in b" ".join(field.value for field in request.headers.fields)
    assert request.headers.get(b"authorization") is None
    assert request.headers.get_all(HEADER_PREFIX.lower() + b"tenant") == [b"w"]


@pytest.mark.parametrize(
    "values, attempt_id",
    [
        ([], None),
        ([b"9c41d07be2a35f68"], "9c41d07be2a35f68"),
        ([b"s-1"], "s-1"),
        ([b""], None),
        ([b"s-1", b"s-1"], None),
        ([b"s-1,s-2"], None),
        ([b"s-1 s-2"], None),
        ([b"\xe9"], None),
        ([b"9" * 5_000], None),
    ],
)
def test_attempt_that_a_client_resumes_is_one_well_formed_id(values, attempt_id):
    pairs = [(b"Resumes", value) for value in values]
    call = read_call(make_request((b"Last-Event-Id", b"3"), *pairs))
    assert (call.is_resumption, call.resumed_attempt_id) == (True, attempt_id)


def test_request_without_last_event_id_is_no_resumption():
    assert not read_call(make_request((b"Resumes", b"s-1"))).is_resumption


def test_attempt_that_a_client_resumes_is_forwarded():
    pairs = [(b"Last-Event-Id", b"3"), (b"Resumes", b"s-1")]
    assert translate(make_request(*pairs)).headers.get_all(b"resumes") == [b"s-1"]


def test_hop_by_hop_headers_are_dropped():
    request = translate(
        make_request(
            (b"Connection", b"close, X-Mine, X-Mulberryhub-Attempt-Id"),
            (b"X-Mine", b"1"),
            (HEADER_PREFIX + b"Attempt-Id", b"id-1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Other", b"2"),
        )
    )
    names = {field.name for field in request.headers.fields}
    assert not names & {b"connection", b"x-mine", b"transfer-encoding"}
    assert request.headers.get(b"x-other") == b"2"
    assert request.headers.get(HEADER_PREFIX.lower() + b"attempt-id") == b"id-1"
    assert request.headers.get(b"content-length") == b"4"


def test_resumed_stream_has_one_last_event_id():
    request = translate(make_request((b"Last-Event-Id", b"3")), last_event_id=7)
    assert request.headers.get_all(b"last-event-id") == [b"7"]


def test_last_event_id_that_a_client_repeats_is_one_for_router_and_upstream():
    request = make_request((b"Last-Event-Id", b"3"), (b"Last-Event-Id", b"1"))
    try:
        forwarded = translate(request).headers.get_all(b"last-event-id")
    except Refusal:
        return
    assert forwarded == [b"%d" % read_call(request).last_event_id]


def read_facts(status, *pairs):
    return read_answer(ResponseHead(status, Headers.from_pairs(pairs)), None)


def test_responses_that_declare_request_not_run():
    assert read_facts(503, (HEADER_PREFIX + b"Not-Executed", b"1")).not_run
    facts = read_facts(421, (HEADER_PREFIX + b"Instance-Id", b"u2"))
    assert facts.not_run and facts.actual_upstream_id == "u2"
    assert not read_facts(503).not_run
    assert not read_facts(500).not_run


def test_response_declares_upstream_shutting_down():
    assert read_facts(200, (b"Server-Leaving", b"1")).is_shutting_down
    assert not read_facts(200).is_shutting_down
    assert not read_facts(200, (b"Server-Leaving", b"0")).is_shutting_down


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
def test_pause_requested_by_overloaded_upstream(status, value, pause):
    assert read_facts(status, (b"Retry-After", value)).pause == pause


@pytest.mark.parametrize(
    "values, rate_limit",
    [
        ([b"12"], 12),
        ([b"1.5"], 1.5),
        ([b"0"], 0),
        ([b"1e9"], 1e9),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b""], None),
        ([b"many"], None),
        ([b"1", b"1"], None),
        ([b"9" * 4_096], None),
        ([b"\xff"], None),
    ],
)
def test_response_declares_rate_limit_of_upstream(values, rate_limit):
    facts = read_facts(200, *((b"Server-Limit", value) for value in values))
    assert facts.has_rate_limit
    assert facts.rate_limit == rate_limit
    assert not read_facts(200).has_rate_limit


def test_encoded_response_is_not_sealed():
    seal = (HEADER_PREFIX + b"Response-Seal", b"s")
    assert read_facts(200, seal).is_sealed
    assert not read_facts(200, seal, (b"Content-Encoding", b"gzip")).is_sealed
    assert not read_facts(200).is_sealed


def test_retry_after_is_in_seconds():
    assert retry_after(250).get(b"retry-after") == b"0.250"
