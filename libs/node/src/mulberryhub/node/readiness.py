"""Serves the platform's readiness probe."""

from mulberryhub.http.limits import RequestLimits
from mulberryhub.http.messages import Headers
from mulberryhub.http.server import HttpServer

STATUS_OK = 200
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_NOT_FOUND = 404
# Limits on readiness probes and metrics requests, which have no body.
MONITORING_LIMITS = RequestLimits(
    max_header_bytes=8_192,
    max_body_bytes=0,
    header_timeout_ms=2_000,
    idle_timeout_ms=10_000,
)


def readiness_server(address, path, is_ready, clock):
    """Return a server that answers `path` with 200 while `is_ready()`, else 503."""

    def handle(request, connection):
        status = STATUS_NOT_FOUND
        if request.path.decode("latin-1") == path:
            status = STATUS_OK if is_ready() else STATUS_SERVICE_UNAVAILABLE
        connection.start_response(status, Headers(), 0)
        return connection.finish_response()

    return HttpServer(address, handle, lambda: MONITORING_LIMITS, clock)
