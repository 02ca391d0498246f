"""Failures of requests to engines and services."""

# Error statuses after which the request may have been processed.
POSSIBLY_PROCESSED_STATUSES = frozenset({500, 502, 504})


class EngineFailure(Exception):
    """The engine gave no complete response.

    `reason` is the suffix of the retry counter. `sent` tells whether the request may
    have reached the engine, so that it may have been processed.
    """

    reason = "failed"

    def __init__(self, message, sent=True):
        super().__init__(message)
        self.sent = sent


class ConnectFailed(EngineFailure):
    """The connection could not be established, so the request was not sent."""

    reason = "connect"

    def __init__(self, message):
        super().__init__(message, sent=False)


class EngineSilent(EngineFailure):
    """No data arrived within the timeout; the connection is closed."""

    reason = "silent"


class StreamCut(EngineFailure):
    """The connection failed before the explicit end of the response."""

    reason = "cut"


class AnswerCrossed(EngineFailure):
    """The response belongs to another request; the connection is closed."""

    reason = "crossed"


class EngineRefused(EngineFailure):
    """The engine responded with an error status."""

    reason = "refused"

    def __init__(self, status, message):
        super().__init__(
            f"status {status}: {message}", sent=status in POSSIBLY_PROCESSED_STATUSES
        )
        self.status = status


class StreamUnknown(EngineFailure):
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
