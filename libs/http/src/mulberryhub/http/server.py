"""HTTP server that runs one green thread per client connection."""

from mulberryhub.base.green import getcurrent, kill, sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.http.accept_loop import run_accept_loop
from mulberryhub.http.body_memory import BodyMemory
from mulberryhub.http.inbound import InboundConnection
from mulberryhub.http.messages import (
    BadRequest,
    ClientDisconnected,
    Headers,
    HttpError,
    ServerEnding,
)
from mulberryhub.http.peer_watch import NO_USER_TIMEOUT
from mulberryhub.http.sockets import close, open_listener, set_socket_options

log = module_logger(__name__)

STATUS_INTERNAL_ERROR = 500
# Hub cycles before the listener closes, in which queued connections are accepted.
FINAL_ACCEPT_CYCLE_COUNT = 3
IDLE_POLL_INTERVAL_MS = 20


class HttpServer:
    """Serves requests at `address` with `handle(request, connection)`.

    `handle` writes the whole response and returns whether the connection can serve
    another request. ClientDisconnected is raised within it when the client disconnects,
    and ServerEnding when it must answer at once. `read_limits()` returns the current
    RequestLimits. `body_memory` bounds the bodies of all requests; without it, they
    have no common bound.
    """

    __slots__ = (
        "draining",
        "address",
        "_handle",
        "_read_limits",
        "_body_memory",
        "_clock",
        "_listener",
        "_connections",
        "_handlers_by_connection",
    )

    def __init__(self, address, handle, read_limits, clock, body_memory=None):
        self.draining = False
        self.address = address
        self._handle = handle
        self._read_limits = read_limits
        self._body_memory = body_memory or BodyMemory()
        self._clock = clock
        self._listener = None
        self._connections = set()
        self._handlers_by_connection = {}

    @property
    def active_request_count(self):
        """Return the number of running requests."""
        return len(self._handlers_by_connection)

    def start(self):
        """Listen, and accept connections in the background."""
        self._listener = open_listener(self.address)
        spawn_service(run_accept_loop, self._listener, self._serve)

    def drain(self):
        """Close each connection after its next response, which announces the close."""
        self.draining = True
        for connection in self._connections:
            connection.announce_close()

    def close_idle(self):
        """Close the connections on which no request has begun to arrive."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_listening(self):
        """Accept the connections that are already queued, then close the listener."""
        for _ in range(FINAL_ACCEPT_CYCLE_COUNT):
            sleep(0)
        close(self._listener)

    def wait_until_idle(self, deadline):
        """Wait until no request runs, or until `deadline` on the clock (ms)."""
        while self.active_request_count and self._clock.now() < deadline:
            sleep(IDLE_POLL_INTERVAL_MS / 1000)

    def end_running(self):
        """Raise ServerEnding within the handlers of all running requests."""
        for connection, handler in list(self._handlers_by_connection.items()):
            connection.close_after_response = True
            kill(handler, ServerEnding())

    def _serve(self, sock):
        try:
            set_socket_options(sock, NO_USER_TIMEOUT)
        except OSError:
            sock.close()  # The client has already disconnected.
            return
        connection = InboundConnection(
            sock, self._read_limits, self._body_memory, self._clock
        )
        self._connections.add(connection)
        try:
            self._serve_requests(connection)
        except (ClientDisconnected, ServerEnding):
            connection.abort()
        except BadRequest as error:
            self._send_error(connection, error)
        except HttpError as error:
            log.debug("connection closed", reason=str(error))
            connection.abort()
        finally:
            self._connections.discard(connection)
            connection.close()

    def _serve_requests(self, connection):
        while True:
            request = connection.read_request()
            if request is None or connection.closed:
                return
            if self.draining:
                connection.close_after_response = True
            if not self._handle_request(request, connection):
                return

    def _handle_request(self, request, connection):
        buffer = connection.receive_buffer
        if buffer.closed:
            return False
        current = getcurrent()
        buffer.on_close = lambda: kill(current, ClientDisconnected())
        self._handlers_by_connection[connection] = current
        try:
            return self._handle(request, connection)
        except (ClientDisconnected, HttpError, ServerEnding):
            raise
        except Exception:
            log.exception("request handler failed")
            raise BadRequest(STATUS_INTERNAL_ERROR, "the request handler failed")
        finally:
            del self._handlers_by_connection[connection]
            buffer.on_close = None

    @staticmethod
    def _send_error(connection, error):
        """Respond to a request that was rejected or whose handler failed.

        A rejected request was not passed to the handler.
        """
        log.info("request refused", status=error.status, reason=str(error))
        if not connection.can_send_head():
            connection.abort()
            return
        connection.close_after_response = True
        headers = Headers()
        if error.retry_after is not None:
            headers.add(b"Retry-After", b"%d" % error.retry_after)
        try:
            connection.start_response(error.status, headers, 0)
            connection.finish_response()
            connection.linger()
        except HttpError as failure:
            log.debug("error response not delivered", reason=str(failure))
