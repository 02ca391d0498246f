import pytest

from mulberryhub.base.errors import Code, HubError
from tests.gateway.calls import make_call


def test_given_request_id_is_kept():
    assert make_call(headers=[("X-Request-Id", "a-1")]).request_id == "a-1"


@pytest.mark.parametrize("given", ["", "x" * 200, "a\nb", "é"])
def test_unusable_request_id_is_replaced(given):
    call = make_call(headers=[("X-Request-Id", given)])
    assert call.request_id != given
    assert call.request_id.isalnum()


@pytest.mark.parametrize(
    "body, declared, code",
    [
        (b"12345", 5, Code.BODY_TOO_LARGE),
        (b"12345", 0, Code.BODY_TOO_LARGE),
        (b"12", 4, Code.BAD_REQUEST),
    ],
)
def test_bodies_out_of_bounds_are_refused(body, declared, code):
    call = make_call(body=body, content_length=declared)
    with pytest.raises(HubError) as raised:
        call.read_body(limit=4)
    assert raised.value.code is code


def test_body_within_bounds():
    assert make_call(body=b"1234").read_body(limit=4) == b"1234"
