import msgspec

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.gateway.responses import error_response


def test_error_body(snapshot):
    bodies_by_code = {
        code.label: msgspec.json.decode(
            error_response(
                ApiError(code, "why", ExecutionState.UNKNOWN, retry_after=1_200)
            ).body
        )
        for code in ErrorCode
    }
    assert bodies_by_code == snapshot


def test_retry_after_is_rounded_up_to_seconds():
    response = error_response(ApiError(ErrorCode.OVER_RATE, "why", retry_after=1_200))
    assert ("Retry-After", "2") in response.headers
    assert response.status == 429


def test_no_retry_after_without_retry_delay():
    names = [
        name
        for name, _ in error_response(ApiError(ErrorCode.OVER_BURST, "why")).headers
    ]
    assert "Retry-After" not in names
