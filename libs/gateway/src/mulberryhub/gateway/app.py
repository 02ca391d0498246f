"""The WSGI application: finds the handler of a call and renders its reply."""

from http import HTTPStatus

import msgspec

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.logs import module_logger
from mulberryhub.gateway.call import Call, Reply
from mulberryhub.gateway.replies import error_reply, json_reply

log = module_logger(__name__)

READY_RETRY = 1_000  # ms
UNGUARDED_PATHS = frozenset({"/healthz", "/readyz"})
ADMIN_PATH = "/admin/"


class Endpoint:
    """A handler with the method that it answers."""

    __slots__ = ("method", "handle")

    def __init__(self, method, handle):
        self.method = method
        self.handle = handle


class Readiness(msgspec.Struct):
    """The answer of a router that is ready."""

    holds_shares: bool


class Gateway:
    """Dispatches calls by path.

    `endpoints_by_path` holds the fixed paths; `fallback(call)` answers the
    others. `is_ready()` tells whether calls can be served, `is_stopping()` whether
    the balancer should send no new ones, and `holds_shares()` whether the router
    admits requests from its own shares (else it borrows).
    """

    __slots__ = (
        "endpoints_by_path",
        "_fallback",
        "_is_ready",
        "_is_stopping",
        "_holds_shares",
        "_counters",
    )

    def __init__(
        self, endpoints_by_path, fallback, is_ready, is_stopping, holds_shares, counters
    ):
        self.endpoints_by_path = dict(endpoints_by_path)
        self.endpoints_by_path["/healthz"] = Endpoint("GET", self._health)
        self.endpoints_by_path["/readyz"] = Endpoint("GET", self._readiness)
        self._fallback = fallback
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        self._holds_shares = holds_shares
        self._counters = counters

    def __call__(self, environ, start_response):
        """Answer one call as a WSGI application."""
        environ["eventlet.minimum_write_chunk_size"] = 1
        call = Call(environ)
        self._counters.add("requests")
        reply = self._answer(call)
        headers = [*reply.headers, ("X-Request-Id", call.request_id)]
        body = reply.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        phrase = HTTPStatus(reply.status).phrase
        start_response(f"{reply.status} {phrase}", headers)
        return body

    def _answer(self, call):
        try:
            return self._dispatch(call)
        except HubError as error:
            self._counters.add(f"refusal.{error.code.label}")
            return error_reply(error)
        except Exception:
            log.exception("a request handler failed")
            self._counters.add(f"refusal.{Code.INTERNAL.label}")
            failure = HubError(Code.INTERNAL, "internal error", ran=Ran.UNKNOWN)
            return error_reply(failure)

    def _dispatch(self, call):
        if not self._is_unguarded(call.path):
            self.require_ready()
        endpoint = self.endpoints_by_path.get(call.path)
        if endpoint is None:
            return self._fallback(call)
        if endpoint.method != call.method:
            raise HubError(
                Code.METHOD_NOT_ALLOWED, f"{call.path} takes {endpoint.method}"
            )
        return endpoint.handle(call)

    @staticmethod
    def _is_unguarded(path):
        return path in UNGUARDED_PATHS or path.startswith(ADMIN_PATH)

    def require_ready(self):
        """Raise HubError while no configuration is in force."""
        if not self._is_ready():
            raise HubError(
                Code.NOT_READY, "no configuration is in force", retry_after=READY_RETRY
            )

    def _health(self, call):
        return Reply(200, b"ok\n", "text/plain")

    def _readiness(self, call):
        self.require_ready()
        if self._is_stopping():
            raise HubError(Code.STOPPING, "the router is stopping")
        return json_reply(Readiness(self._holds_shares()))
