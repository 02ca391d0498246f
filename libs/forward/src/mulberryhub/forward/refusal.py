"""Reasons and errors for requests that the router answers itself."""

from enum import Enum

NOT_RUN_STATUSES = (408, 421, 429, 503)


class Reason(Enum):
    """Why a request was refused or failed: outcome label and HTTP status.

    NOT_RUN_STATUSES guarantee that the request has not run and never will.
    """

    BAD_REQUEST = ("bad_request", 400)
    UNKNOWN_KEY = ("unknown_key", 401)
    UNKNOWN_ROUTE = ("unknown_route", 404)
    OVER_QUOTA = ("over_quota", 429)
    NOT_READY = ("not_ready", 503)
    NO_UPSTREAM = ("no_upstream", 503)
    UPSTREAMS_FULL = ("upstreams_full", 503)
    UPSTREAMS_LIMITED = ("upstreams_limited", 503)
    OUT_OF_TIME = ("out_of_time", 503)
    QUARANTINED = ("quarantined", 503)
    STOPPING = ("stopping", 503)
    STREAM_VERSION_GONE = ("stream_version_gone", 503)
    STREAM_ORIGIN_UNKNOWN = ("stream_origin_unknown", 503)
    UPSTREAM_FAILED = ("upstream_failed", 502)
    UPSTREAM_SILENT = ("upstream_silent", 504)
    STOPPED = ("stopped", 504)

    def __init__(self, label, status):
        self.label = label
        self.status = status

    @property
    def promises_not_run(self):
        """Return whether the status guarantees that the request has not run."""
        return self.status in NOT_RUN_STATUSES


class Refusal(Exception):
    """Raised when the router itself answers a request.

    `retry_after` is the time in ms after which the client may retry, None where a
    retry does not help.
    """

    def __init__(self, reason, retry_after=None):
        super().__init__(reason.label)
        self.reason = reason
        self.retry_after = retry_after
