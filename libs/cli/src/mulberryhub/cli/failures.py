"""Why a command failed."""

import msgspec

USAGE_CODE = "usage"
PASSING_CODES = frozenset(
    {"unreachable", "log_unavailable", "not_ready", "stopping", "internal"}
)


class Failure(msgspec.Struct):
    """What a router said about a refused call, or what kept it from being made."""

    message: str
    code: str = "unreachable"
    ran: str = "unknown"


class CallFailed(Exception):
    """A call was refused, gave no usable answer or could not be made."""

    def __init__(self, failure, findings=()):
        super().__init__(failure.message)
        self.failure = failure
        self.findings = list(findings)

    @property
    def is_refusal(self):
        """Return whether the router refused the call for good."""
        return self.failure.code not in PASSING_CODES

    @property
    def is_usage(self):
        """Return whether the command line is at fault."""
        return self.failure.code == USAGE_CODE
