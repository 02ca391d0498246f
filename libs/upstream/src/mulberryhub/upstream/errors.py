"""Ways in which a stream from an engine can fail."""

# Error statuses of engines after which the request may have run.
RUN_STATUSES = frozenset({500, 502, 504})


class EngineFailure(Exception):
    """The engine gave no complete answer; `reason` names the retry counter.

    `sent` tells whether the request may have reached the engine.
    """

    reason = "failed"

    def __init__(self, message, sent=True):
        super().__init__(message)
        self.sent = sent


class ConnectFailed(EngineFailure):
    """No connection could be opened, so nothing has reached the engine."""

    reason = "connect"

    def __init__(self, message):
        super().__init__(message, sent=False)


class EngineSilent(EngineFailure):
    """Nothing arrived within the timeout; the connection is closed."""

    reason = "silent"


class StreamCut(EngineFailure):
    """The connection broke before the explicit end of the answer."""

    reason = "cut"


class AnswerCrossed(EngineFailure):
    """The answer belongs to another request; the connection is closed."""

    reason = "crossed"


class EngineRefused(EngineFailure):
    """The engine answered with an error status."""

    reason = "refused"

    def __init__(self, status, message):
        super().__init__(f"status {status}: {message}", sent=status in RUN_STATUSES)
        self.status = status


class StreamUnknown(EngineFailure):
    """The engine no longer keeps the stream that was to be resumed.

    `incarnation` is the engine's present one where it told it, else empty.
    """

    reason = "unknown_stream"

    def __init__(self, message, incarnation=""):
        super().__init__(message)
        self.incarnation = incarnation


class WrongVersion(EngineFailure):
    """The engine answers with other weights than those asked for."""

    reason = "wrong_version"
