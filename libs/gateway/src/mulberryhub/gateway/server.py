"""The HTTP listener of a router, with a stop that lets running calls finish."""

from loguru import logger

from mulberryhub.base.green import GreenPool, listen, socket, spawn, wsgi

BACKLOG = 1_024  # connections
MAX_CONNECTIONS = 8_192
SOCKET_TIMEOUT = 60_000  # ms
LINGER_TIME = 1_000  # ms
LINGER_BYTES = 1_048_576
READ_BYTES = 65_536
CONFLICTING_LENGTHS = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class WsgiLog:
    """Sends eventlet's own messages to the log at the debug level."""

    __slots__ = ()

    def _write(self, message, *arguments):
        logger.debug(message, *arguments)

    info = debug = error = _write


class StrictProtocol(wsgi.HttpProtocol):
    """Refuses a request with conflicting lengths and ends its connection.

    Where its body ends is not known, so nothing after it can be read. What a refused
    client still sends is dropped before the close, which would else reset the
    connection and take the answer with it.
    """

    is_refused = False

    def parse_request(self):
        """Parse the head of a request; return whether it can be served."""
        self.is_refused = True
        if not super().parse_request():
            return False
        lengths = self.headers.get_all("content-length", ())
        if len(set(lengths)) <= 1:
            return True
        self.wfile.write(CONFLICTING_LENGTHS)
        self.close_connection = 1
        return False

    def handle_one_response(self):
        """Have the application answer a request."""
        self.is_refused = False
        super().handle_one_response()

    def finish(self):
        """Close the connection."""
        if self.is_refused:
            self._linger()
        super().finish()

    def _linger(self):
        """End the answer and read on until the client has closed."""
        dropped = 0
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            self.connection.settimeout(LINGER_TIME / 1000)
            while dropped < LINGER_BYTES:
                data = self.connection.recv(READ_BYTES)
                if not data:
                    return
                dropped += len(data)
        except OSError as error:
            logger.debug("refused client did not close: {}", error)


class HttpServer:
    """Serves a WSGI application on one listening socket."""

    __slots__ = ("_app", "_listener", "_pool", "_thread")

    def __init__(self, address, app):
        host, port = address.rsplit(":", 1)
        self._app = app
        self._listener = listen((host, int(port)), backlog=BACKLOG)
        # Accepted connections inherit this; else an event waits for the
        # acknowledgement of the one before it.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool = GreenPool(MAX_CONNECTIONS)
        self._thread = None

    @property
    def address(self):
        """Return the address in use as host:port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self):
        """Start to accept connections."""
        self._thread = spawn(
            wsgi.server,
            self._listener,
            self._app,
            log=WsgiLog(),
            custom_pool=self._pool,
            socket_timeout=SOCKET_TIMEOUT / 1000,
            protocol=StrictProtocol,
            debug=False,
            log_output=False,
        )

    def stop(self):
        """Refuse new connections, close idle ones and wait for running calls."""
        self._thread.kill(SystemExit)
        self._pool.waitall()

    @property
    def connections(self):
        """Return the number of open connections."""
        return self._pool.running()
