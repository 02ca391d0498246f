"""JSON responses and errors in the format of the OpenAI-compatible API."""

from math import ceil

import msgspec

from mulberryhub.base.errors import ErrorCode
from mulberryhub.base.findings import Finding
from mulberryhub.gateway.http_messages import HttpResponse

ERROR_TYPES_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


class ErrorDetail(msgspec.Struct):
    """Description of an error.

    `ran` tells whether the request was executed: `not_run`, `ran` or `unknown`.
    """

    message: str
    type: str
    code: str
    ran: str
    param: str | None = None
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct):
    """Body of an error response."""

    error: ErrorDetail


class InvalidInventoryBody(ErrorBody):
    """Body of the error response to an invalid inventory, with its findings."""

    findings: list[Finding]


def error_detail(error):
    """Return the ErrorDetail of an ApiError."""
    status = error.code.status
    default_type = "server_error" if status >= 500 else "invalid_request_error"
    return ErrorDetail(
        message=error.message,
        type=ERROR_TYPES_BY_STATUS.get(status, default_type),
        code=error.code.label,
        ran=error.execution_state.value,
        retry_after_ms=error.retry_after,
    )


def error_body(error):
    """Return the JSON body for an ApiError, as bytes."""
    return msgspec.json.encode(ErrorBody(error_detail(error)))


def error_response(error):
    """Return the response for an ApiError.

    It has a Retry-After header if the error has a retry delay.
    """
    headers = [("X-Mulberryhub-Ran", error.execution_state.value)]
    if error.retry_after is not None:
        headers.append(("Retry-After", str(ceil(error.retry_after / 1000))))
    if error.code is ErrorCode.METHOD_NOT_ALLOWED:
        headers.append(("Allow", "GET, POST"))
    return HttpResponse(error.code.status, error_body(error), headers=headers)


def json_response(value, status=200, headers=()):
    """Return a response with `value` encoded as JSON."""
    return HttpResponse(status, msgspec.json.encode(value), headers=headers)
