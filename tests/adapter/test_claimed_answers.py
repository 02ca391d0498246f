"""Answers of workers that contradict themselves or do not say what they answer.

The router is a process of its own; the workers are stand-ins.
"""

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet
from tests.adapter.claimed_answers import (
    ID_LINE,
    OK_BODY,
    SEAL_LINE,
    STATUS_OK_LINE,
    ask_worker,
    sealed,
)

KINDS = ["idempotent", "non_idempotent"]
PROMISES = (408, 421, 429, 503)  # statuses that promise that the request did not run
OK_LINE = STATUS_OK_LINE + b"\r\n"
OK_HEAD = sealed(STATUS_OK_LINE)


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=1)
    routes = [route(kind, f"/{kind}/", kind, kind, timeoutMs=2_000) for kind in KINDS]
    fleet.configure(
        make_config(routes=routes, services=[{"name": kind} for kind in KINDS])
    )
    try:
        yield fleet
    finally:
        fleet.close()


def assert_failed(answer):
    """Assert that the client got a failure that promises nothing, without a seal."""
    assert answer.run_count == 1
    assert answer.status >= 500
    assert answer.status not in PROMISES
    assert answer.seals == []


ODD_SEALS_BY_NAME = {
    "empty": b"X-Mulberryhub-Response-Seal: \r\n",
    "two": SEAL_LINE + b"X-Mulberryhub-Response-Seal: other\r\n",
    "hop_by_hop": SEAL_LINE + b"Connection: x-mulberryhub-response-seal\r\n",
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", ODD_SEALS_BY_NAME)
def test_success_without_exactly_one_seal_for_the_client_is_a_failure(
    platform, name, kind
):
    response = OK_LINE + ID_LINE + ODD_SEALS_BY_NAME[name] + OK_BODY
    assert_failed(ask_worker(platform, kind, response))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("id_line", [b"", b"X-Mulberryhub-Attempt-Id: \r\n"])
def test_answer_that_names_no_request_is_not_taken_for_that_of_the_next_one(
    platform, id_line, kind
):
    response = OK_LINE + id_line + SEAL_LINE + OK_BODY
    assert_failed(ask_worker(platform, kind, response, is_reused=True))


@pytest.mark.parametrize("kind", KINDS)
def test_answer_that_names_no_request_behind_another_answer_is_a_failure(
    platform, kind
):
    other_id_line = b"X-Mulberryhub-Attempt-Id: other\r\n"
    response = OK_LINE + other_id_line + SEAL_LINE + OK_BODY
    response += OK_LINE + SEAL_LINE + OK_BODY
    assert_failed(ask_worker(platform, kind, response))


@pytest.mark.parametrize("kind", KINDS)
def test_answer_that_names_two_requests_is_a_failure(platform, kind):
    response = OK_HEAD + b"X-Mulberryhub-Attempt-Id: other\r\n" + OK_BODY
    assert_failed(ask_worker(platform, kind, response))


@pytest.mark.parametrize("kind", KINDS)
def test_answer_on_a_fresh_connection_need_not_name_its_request(platform, kind):
    answer = ask_worker(platform, kind, OK_LINE + SEAL_LINE + OK_BODY)
    assert (answer.status, answer.body, answer.seals) == (200, b"ok", [b"seal"])


CHUNKED_BODY = b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
ODD_RESPONSES_BY_NAME = {
    "length_above_chunks": OK_HEAD + b"Content-Length: 9\r\n" + CHUNKED_BODY,
    "length_below_chunks": OK_HEAD + b"Content-Length: 1\r\n" + CHUNKED_BODY,
    "chunks_in_http_1_0": sealed(b"HTTP/1.0 200 OK") + CHUNKED_BODY,
    "http_2": sealed(b"HTTP/2.0 200 OK") + OK_BODY,
    "http_0_9": sealed(b"HTTP/0.9 200 OK") + OK_BODY,
    "body_of_no_content": sealed(b"HTTP/1.1 204 No Content") + OK_BODY,
    "chunks_of_no_content": sealed(b"HTTP/1.1 204 No Content") + CHUNKED_BODY,
    "status_600": sealed(b"HTTP/1.1 600 Odd") + OK_BODY,
    "status_999": sealed(b"HTTP/1.1 999 Odd") + OK_BODY,
    "control_characters": OK_HEAD + b"X-A: b\x01\x1b\x7fc\r\n" + OK_BODY,
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", ODD_RESPONSES_BY_NAME)
def test_answer_that_contradicts_itself_is_a_failure(platform, name, kind):
    assert_failed(ask_worker(platform, kind, ODD_RESPONSES_BY_NAME[name]))


NOT_EXECUTED_LINE = b"X-Mulberryhub-Not-Executed: 1\r\n"


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
def test_answer_of_a_run_that_denies_the_run_does_not_become_a_promise(
    platform, status, kind
):
    head = sealed(b"HTTP/1.1 %d Odd" % status)
    assert_failed(ask_worker(platform, kind, head + NOT_EXECUTED_LINE + OK_BODY))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
def test_refusal_that_denies_the_run_becomes_a_promise_without_a_seal(
    platform, status, kind
):
    head = sealed(b"HTTP/1.1 %d Odd" % status)
    answer = ask_worker(platform, kind, head + NOT_EXECUTED_LINE + OK_BODY)
    assert (answer.status, answer.seals) == (503, [])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_refusal_that_does_not_deny_the_run_is_not_passed_on_as_a_promise(
    platform, status, kind
):
    head = sealed(b"HTTP/1.1 %d Odd" % status)
    assert_failed(ask_worker(platform, kind, head + OK_BODY))
