"""Answers the platform's question whether this router takes new connections."""

from mulberryhub.http.inbound import RequestLimits
from mulberryhub.http.messages import Headers
from mulberryhub.http.server import HttpServer

READY = 200
NOT_READY = 503
NOT_FOUND = 404
PROBE_LIMITS = RequestLimits(
    max_header_bytes=8_192,
    max_body_bytes=0,
    header_timeout_ms=2_000,
    idle_timeout_ms=10_000,
)


def readiness_server(address, path, is_ready, clock):
    """Return a server that answers `path` with 200 while `is_ready()`, else 503."""

    def handle(request, connection):
        status = NOT_FOUND
        if request.path.decode("latin-1") == path:
            status = READY if is_ready() else NOT_READY
        connection.start_response(status, Headers(), 0)
        return connection.finish_response()

    return HttpServer(address, handle, lambda: PROBE_LIMITS, clock)
