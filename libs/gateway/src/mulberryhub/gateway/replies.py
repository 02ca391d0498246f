"""Replies in the shapes that clients of the completions API parse."""

from math import ceil

import msgspec

from mulberryhub.base.errors import Code
from mulberryhub.base.findings import Finding
from mulberryhub.gateway.call import Reply

TYPES_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


class ErrorDetail(msgspec.Struct):
    """What went wrong; `ran` is `not_run`, `ran` or `unknown`."""

    message: str
    type: str
    code: str
    ran: str
    param: str | None = None
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct):
    """The body of every refusal."""

    error: ErrorDetail


class InvalidBody(ErrorBody):
    """The body of a refusal that lists findings."""

    findings: list[Finding]


def error_detail(error):
    """Return the ErrorDetail for a HubError."""
    status = error.code.status
    fallback = "server_error" if status >= 500 else "invalid_request_error"
    return ErrorDetail(
        message=error.message,
        type=TYPES_BY_STATUS.get(status, fallback),
        code=error.code.label,
        ran=error.ran.value,
        retry_after_ms=error.retry_after,
    )


def error_body(error):
    """Return the JSON body for a HubError."""
    return msgspec.json.encode(ErrorBody(error_detail(error)))


def error_reply(error):
    """Return the reply for a HubError, with Retry-After where a retry helps."""
    headers = [("X-Mulberryhub-Ran", error.ran.value)]
    if error.retry_after is not None:
        headers.append(("Retry-After", str(ceil(error.retry_after / 1000))))
    if error.code is Code.METHOD_NOT_ALLOWED:
        headers.append(("Allow", "GET, POST"))
    return Reply(error.code.status, error_body(error), headers=headers)


def json_reply(value, status=200, headers=()):
    """Return a reply with `value` as JSON."""
    return Reply(status, msgspec.json.encode(value), headers=headers)
