"""WSGI application of a router: dispatches requests by path and renders responses."""

from http import HTTPStatus

import msgspec

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import getcurrent, kill
from mulberryhub.base.logs import module_logger
from mulberryhub.gateway.http_messages import HttpRequest, HttpResponse
from mulberryhub.gateway.responses import error_response, json_response

log = module_logger(__name__)

NOT_READY_RETRY_AFTER_MS = 1_000
PATHS_SERVED_UNREADY = frozenset({"/healthz", "/readyz"})
ADMIN_PATH_PREFIX = "/admin/"


class Endpoint:
    """A request handler and the HTTP method that it accepts."""

    __slots__ = ("method", "handle")

    def __init__(self, method, handle):
        self.method = method
        self.handle = handle


class ReadinessBody(msgspec.Struct):
    """Body of a successful readiness check.

    `holds_shares` tells whether the router admits requests from its own share of
    the rate limits; otherwise it borrows from other routers.
    """

    holds_shares: bool


class Gateway:
    """WSGI application that dispatches requests to endpoints.

    `endpoints_by_path` holds the endpoints with fixed paths; `fallback(request)`
    handles all other paths. `can_serve()` tells whether a configuration is known, so
    that requests are accepted; handlers wait until it is confirmed. `is_ready()` tells
    whether it is confirmed now, `is_stopping()` whether the load balancer should stop
    sending new requests, and `holds_shares()` whether the router admits requests from
    its own share of the rate limits.
    """

    __slots__ = (
        "endpoints_by_path",
        "_fallback",
        "_can_serve",
        "_is_ready",
        "_is_stopping",
        "_holds_shares",
        "_counters",
        "_running_handlers",
    )

    def __init__(
        self,
        endpoints_by_path,
        fallback,
        can_serve,
        is_ready,
        is_stopping,
        holds_shares,
        counters,
    ):
        self.endpoints_by_path = dict(endpoints_by_path)
        self.endpoints_by_path["/healthz"] = Endpoint("GET", self._get_health)
        self.endpoints_by_path["/readyz"] = Endpoint("GET", self._get_readiness)
        self._fallback = fallback
        self._can_serve = can_serve
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        self._holds_shares = holds_shares
        self._counters = counters
        self._running_handlers = set()

    def __call__(self, environ, start_response):
        """Serve one request as a WSGI application."""
        environ["eventlet.minimum_write_chunk_size"] = 1
        request = HttpRequest(environ)
        self._counters.add("requests")
        response = self._respond(request)
        headers = [*response.headers, ("X-Request-Id", request.request_id)]
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        reason_phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {reason_phrase}", headers)
        return body

    def end_running(self):
        """End the requests whose responses have not begun with an error response."""
        for handler in list(self._running_handlers):
            error = ApiError(
                ErrorCode.UPSTREAM_SILENT,
                "the router stopped before the answer",
                ExecutionState.UNKNOWN,
            )
            kill(handler, error)

    def _respond(self, request):
        """Return the response; an exception becomes an error response."""
        handler = getcurrent()
        self._running_handlers.add(handler)
        try:
            return self._dispatch(request)
        except ApiError as error:
            self._counters.add(f"refusal.{error.code.label}")
            return error_response(error)
        except Exception:
            log.exception("request handler failed")
            self._counters.add(f"refusal.{ErrorCode.INTERNAL.label}")
            internal_error = ApiError(
                ErrorCode.INTERNAL,
                "internal error",
                execution_state=ExecutionState.UNKNOWN,
            )
            return error_response(internal_error)
        finally:
            self._running_handlers.discard(handler)

    def _dispatch(self, request):
        if not self._is_served_unready(request.path) and not self._can_serve():
            raise _not_ready_error()
        endpoint = self.endpoints_by_path.get(request.path)
        if endpoint is None:
            return self._fallback(request)
        if endpoint.method != request.method:
            raise ApiError(
                ErrorCode.METHOD_NOT_ALLOWED, f"{request.path} takes {endpoint.method}"
            )
        return endpoint.handle(request)

    @staticmethod
    def _is_served_unready(path):
        """Return whether `path` is served while the router is not ready."""
        return path in PATHS_SERVED_UNREADY or path.startswith(ADMIN_PATH_PREFIX)

    def _get_health(self, request):
        return HttpResponse(200, b"ok\n", "text/plain")

    def _get_readiness(self, request):
        if not self._is_ready():
            raise _not_ready_error()
        if self._is_stopping():
            raise ApiError(ErrorCode.STOPPING, "the router is stopping")
        return json_response(ReadinessBody(self._holds_shares()))


def _not_ready_error():
    return ApiError(
        ErrorCode.NOT_READY,
        "no configuration is in force",
        retry_after=NOT_READY_RETRY_AFTER_MS,
    )
