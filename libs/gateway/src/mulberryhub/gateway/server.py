"""HTTP server of a router, with a graceful stop."""

from loguru import logger

from mulberryhub.base.green import GreenPool, listen, socket, spawn, wsgi

MAX_PENDING_CONNECTIONS = 1_024
MAX_CONNECTIONS = 8_192
SOCKET_TIMEOUT_MS = 60_000
LINGER_TIMEOUT_MS = 1_000
MAX_LINGER_BYTES = 1_048_576
RECEIVE_BUFFER_BYTES = 65_536
CONFLICTING_LENGTHS_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class WsgiLog:
    """Writes eventlet's log messages at the debug level."""

    __slots__ = ()

    def _write(self, message, *arguments):
        logger.debug(message, *arguments)

    info = debug = error = _write


class StrictProtocol(wsgi.HttpProtocol):
    """HTTP protocol that rejects requests with conflicting Content-Length headers.

    The end of such a request's body is unknown, so the connection is closed after
    the error response. Data that the client still sends is read and discarded
    first: closing a socket with unread data resets the connection, and the client
    could lose the response.
    """

    is_rejected = False

    def parse_request(self):
        """Parse the request line and headers; return whether to serve the request."""
        self.is_rejected = True
        if not super().parse_request():
            return False
        lengths = self.headers.get_all("content-length", ())
        if len(set(lengths)) <= 1:
            return True
        self.wfile.write(CONFLICTING_LENGTHS_RESPONSE)
        self.close_connection = 1
        return False

    def handle_one_response(self):
        """Run the WSGI application for one request."""
        self.is_rejected = False
        super().handle_one_response()

    def finish(self):
        """Close the connection."""
        if self.is_rejected:
            self._discard_input()
        super().finish()

    def _discard_input(self):
        """Shut down the sending side, then discard input until the client closes.

        Stop early after LINGER_TIMEOUT_MS without data or MAX_LINGER_BYTES.
        """
        discarded_bytes = 0
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            self.connection.settimeout(LINGER_TIMEOUT_MS / 1000)
            while discarded_bytes < MAX_LINGER_BYTES:
                data = self.connection.recv(RECEIVE_BUFFER_BYTES)
                if not data:
                    return
                discarded_bytes += len(data)
        except OSError as error:
            logger.debug("failed to discard input of rejected request: {}", error)


class HttpServer:
    """Serves a WSGI application on one listening socket.

    `address` is given as host:port.
    """

    __slots__ = ("_app", "_listener", "_pool", "_thread")

    def __init__(self, address, app):
        host, port = address.rsplit(":", 1)
        self._app = app
        self._listener = listen((host, int(port)), backlog=MAX_PENDING_CONNECTIONS)
        # Accepted connections inherit this option. With Nagle's algorithm, each
        # server-sent event would wait for the acknowledgement of the previous one.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool = GreenPool(MAX_CONNECTIONS)
        self._thread = None

    @property
    def address(self):
        """Return the bound address as host:port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self):
        """Start accepting connections."""
        self._thread = spawn(
            wsgi.server,
            self._listener,
            self._app,
            log=WsgiLog(),
            custom_pool=self._pool,
            socket_timeout=SOCKET_TIMEOUT_MS / 1000,
            protocol=StrictProtocol,
            debug=False,
            log_output=False,
        )

    def stop(self):
        """Stop accepting connections, close idle ones and wait for running requests."""
        self._thread.kill(SystemExit)
        self._pool.waitall()

    @property
    def connection_count(self):
        """Return the number of open connections."""
        return self._pool.running()
