import pytest

from mulberryhub.base.errors import ApiError, ErrorCode
from tests.gateway.http_requests import make_request


def test_valid_request_id_is_kept():
    assert make_request(headers=[("X-Request-Id", "a-1")]).request_id == "a-1"


@pytest.mark.parametrize("client_id", ["", "x" * 200, "a\nb", "é"])
def test_invalid_request_id_is_replaced(client_id):
    request = make_request(headers=[("X-Request-Id", client_id)])
    assert request.request_id != client_id
    assert request.request_id.isalnum()


@pytest.mark.parametrize(
    "body, declared, code",
    [
        (b"12345", 5, ErrorCode.BODY_TOO_LARGE),
        (b"12345", 0, ErrorCode.BODY_TOO_LARGE),
        (b"12", 4, ErrorCode.BAD_REQUEST),
    ],
)
def test_body_with_invalid_length_is_rejected(body, declared, code):
    request = make_request(body=body, content_length=declared)
    with pytest.raises(ApiError) as raised:
        request.read_body(limit=4)
    assert raised.value.code is code


def test_body_at_the_limit_is_accepted():
    assert make_request(body=b"1234").read_body(limit=4) == b"1234"
