"""Failures of requests to engines and services."""

# Error statuses that refuse a request, so that it was not processed, beside all of 4xx.
REFUSAL_STATUSES = frozenset({501, 503, 505})


class EngineFailure(Exception):
    """The engine gave no complete response.

    `reason` is the suffix of the retry counter. `may_have_been_sent` tells whether the
    request may have reached the engine, so that it may have been processed.
    """

    reason = "failed"

    def __init__(self, message, may_have_been_sent=True):
        super().__init__(message)
        self.may_have_been_sent = may_have_been_sent


class ConnectFailed(EngineFailure):
    """The connection could not be established, so the request was not sent."""

    reason = "connect"

    def __init__(self, message):
        super().__init__(message, may_have_been_sent=False)


class EngineTimeout(EngineFailure):
    """No data arrived within the timeout; the connection is closed."""

    reason = "silent"


class StreamInterrupted(EngineFailure):
    """The connection failed before the explicit end of the response."""

    reason = "cut"


class ResponseMismatch(EngineFailure):
    """The response belongs to another request; the connection is closed."""

    reason = "crossed"


class EngineErrorResponse(EngineFailure):
    """The engine responded with an error status."""

    reason = "refused"

    def __init__(self, status, message):
        super().__init__(
            f"status {status}: {message}",
            may_have_been_sent=not is_refusal(status),
        )
        self.status = status


def is_refusal(status):
    """Return whether the error `status` says that the request was not processed."""
    return 400 <= status < 500 or status in REFUSAL_STATUSES


class StreamNotFound(EngineFailure):
    """The engine does not have the stream that was to be resumed.

    `incarnation` identifies the engine's current run; empty if it is not known.
    """

    reason = "unknown_stream"

    def __init__(self, message, incarnation=""):
        super().__init__(message)
        self.incarnation = incarnation


class WrongVersion(EngineFailure):
    """The engine responded with another model version than the requested one."""

    reason = "wrong_version"
