"""Errors with stable codes, as returned to callers and operators."""

from enum import Enum, StrEnum


class ExecutionState(StrEnum):
    """Whether a request that ended in an error was executed by an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Stable error codes, each with its label in responses and its HTTP status."""

    BAD_REQUEST = ("bad_request", 400)
    MALFORMED_JSON = ("malformed_json", 400)
    BODY_TOO_LARGE = ("body_too_large", 413)
    DUPLICATE_KEY = ("duplicate_key", 400)
    SLOW_SENDER = ("slow_sender", 408)
    MISSING_KEY = ("missing_key", 401)
    UNKNOWN_KEY = ("unknown_key", 401)
    WITHDRAWN_KEY = ("withdrawn_key", 401)
    MODEL_NOT_ALLOWED = ("model_not_allowed", 403)
    UNKNOWN_MODEL = ("unknown_model", 404)
    UNKNOWN_ROUTE = ("unknown_route", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    MISSING_IDEMPOTENCY_KEY = ("missing_idempotency_key", 400)
    IDEMPOTENCY_MISMATCH = ("idempotency_mismatch", 422)
    IDEMPOTENCY_KEY_EXPIRED = ("idempotency_key_expired", 422)
    IN_PROGRESS = ("in_progress", 409)
    OUTCOME_UNKNOWN = ("outcome_unknown", 409)
    RESULT_NOT_KEPT = ("result_not_kept", 409)
    OVER_RATE = ("over_rate", 429)
    OVER_BURST = ("over_burst", 413)
    QUEUE_FULL = ("queue_full", 503)
    DEADLINE = ("deadline", 504)
    QUARANTINED = ("quarantined", 422)
    NO_UPSTREAM = ("no_upstream", 503)
    UPSTREAM_FAILED = ("upstream_failed", 502)
    UPSTREAM_SILENT = ("upstream_silent", 504)
    NOT_READY = ("not_ready", 503)
    STOPPING = ("stopping", 503)
    LOG_UNAVAILABLE = ("log_unavailable", 503)
    STALE_BASE = ("stale_base", 409)
    INVALID_INVENTORY = ("invalid_inventory", 422)
    NOT_OPERATOR = ("not_operator", 403)
    BAD_RESUME_TOKEN = ("bad_resume_token", 400)
    INTERNAL = ("internal", 500)

    def __init__(self, label, status):
        self.label = label
        self.status = status


class ApiError(Exception):
    """An error that is returned to the caller as an error response.

    `execution_state` is whether an upstream may have executed the request.
    `retry_after` is the recommended delay before a retry in ms, or None if a retry does
    not help.
    """

    def __init__(
        self, code, message, execution_state=ExecutionState.NOT_RUN, retry_after=None
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.execution_state = execution_state
        self.retry_after = retry_after
