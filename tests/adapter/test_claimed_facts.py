"""What answers of upstreams state about themselves, with values that state nothing."""

import pytest

from mulberryhub.adapter.dialect import read_answer
from mulberryhub.http.messages import Headers, ResponseHead

INSTANCE_ID = b"X-Mulberryhub-Instance-Id"
RETRY_AFTER = b"Retry-After"
NO_INSTANCE_IDS = [[b""], [b"\xff\xfe"], [b"i 1"], [b"i1", b"i2"], [b"i1,i2"]]
NO_PAUSES = [b"-inf", b"nan", b"-1", b"", b"1 2", b"Fri, 31 Dec 1999"]


def read(status, *pairs):
    return read_answer(ResponseHead(status, Headers.from_pairs(pairs)), None)


def test_misdirected_request_names_the_instance_that_answers():
    assert read(421, (INSTANCE_ID, b"i-1")).actual_upstream_id == "i-1"


@pytest.mark.parametrize("values", NO_INSTANCE_IDS)
def test_upstream_is_not_removed_for_what_names_no_instance(values):
    facts = read(421, *((INSTANCE_ID, value) for value in values))
    assert facts.not_run
    assert facts.actual_upstream_id is None


@pytest.mark.parametrize("value", NO_PAUSES)
def test_upstream_is_not_paused_for_what_is_no_time(value):
    assert read(503, (RETRY_AFTER, value)).pause is None


def test_upstream_is_not_paused_for_two_times():
    assert read(503, (RETRY_AFTER, b"9"), (RETRY_AFTER, b"1")).pause is None
    assert read(503, (RETRY_AFTER, b"1.5")).pause == 1_500
