"""The exception that ends a command, with the error code and message."""

import msgspec

USAGE_ERROR_CODE = "usage"
TRANSIENT_ERROR_CODES = frozenset(
    {"unreachable", "log_unavailable", "not_ready", "stopping", "internal"}
)


class Failure(msgspec.Struct):
    """The error of a call, from the router's answer or from the client itself.

    `code` is the error code; `ran` says whether the call may have taken effect.
    """

    message: str
    code: str = "unreachable"
    ran: str = "unknown"


class CallFailed(Exception):
    """Raised if a call was refused, got no valid answer or could not be sent.

    `findings` are the validation findings on a refused inventory.
    """

    def __init__(self, failure, findings=()):
        super().__init__(failure.message)
        self.failure = failure
        self.findings = list(findings)

    @property
    def is_permanent(self):
        """Return whether the error is permanent rather than transient."""
        return self.failure.code not in TRANSIENT_ERROR_CODES

    @property
    def is_usage_error(self):
        """Return whether the cause is an invalid command line or an unreadable file."""
        return self.failure.code == USAGE_ERROR_CODE
