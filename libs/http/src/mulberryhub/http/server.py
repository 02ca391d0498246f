"""The listener of clients: one green thread for each connection."""

from mulberryhub.base.green import getcurrent, kill, sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.http.accepting import accept_all
from mulberryhub.http.inbound import InboundConnection
from mulberryhub.http.messages import BadRequest, ClientGone, Headers, HttpError
from mulberryhub.http.sockets import close, open_listener, tune

log = module_logger(__name__)

STATUS_FAILED = 500
ACCEPT_TURNS = 3  # of the hub, in which waiting connections are accepted
STOP_POLL = 20  # ms


class HttpServer:
    """Serves `handle(request, connection)` at `address`.

    `handle` writes the whole answer to the connection. It is ended by ClientGone
    where the client leaves meanwhile. `read_limits()` returns the Limits in force.
    """

    __slots__ = (
        "busy",
        "draining",
        "address",
        "_handle",
        "_read_limits",
        "_clock",
        "_listener",
        "_connections",
    )

    def __init__(self, address, handle, read_limits, clock):
        self.busy = 0
        self.draining = False
        self.address = address
        self._handle = handle
        self._read_limits = read_limits
        self._clock = clock
        self._listener = None
        self._connections = set()

    def start(self):
        """Listen and accept in the background."""
        self._listener = open_listener(self.address)
        spawn_task(accept_all, self._listener, self._serve)

    def drain(self):
        """Ask clients to leave: each answer from now on closes its connection."""
        self.draining = True

    def close_idle(self):
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_listening(self):
        """Refuse new connections, once those that wait have been accepted."""
        for _ in range(ACCEPT_TURNS):
            sleep(0)
        close(self._listener)

    def wait_until_idle(self, deadline):
        """Wait until no request runs or the clock reads `deadline` ms."""
        while self.busy and self._clock.now() < deadline:
            sleep(STOP_POLL / 1000)

    def _serve(self, sock):
        try:
            tune(sock)
        except OSError:
            sock.close()  # The client left before it was served.
            return
        connection = InboundConnection(sock, self._read_limits(), self._clock)
        self._connections.add(connection)
        try:
            self._serve_requests(connection)
        except ClientGone:
            connection.abort()
        except BadRequest as error:
            self._refuse(connection, error)
        except HttpError as error:
            log.debug("connection ended", reason=str(error))
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
                connection.closing = True
            if not self._serve_one(request, connection):
                return

    def _serve_one(self, request, connection):
        inbox = connection.inbox
        if inbox.closed:
            return False
        current = getcurrent()
        inbox.on_close = lambda: kill(current, ClientGone())
        self.busy += 1
        try:
            return self._handle(request, connection)
        except (ClientGone, HttpError):
            raise
        except Exception:
            log.exception("request handler failed")
            raise BadRequest(STATUS_FAILED, "the handler failed")
        finally:
            self.busy -= 1
            inbox.on_close = None

    @staticmethod
    def _refuse(connection, error):
        """Answer a request that cannot be read; none of it went any further."""
        log.info("request refused", status=error.status, reason=str(error))
        if not connection.can_answer():
            connection.abort()
            return
        connection.closing = True
        try:
            connection.start_answer(error.status, Headers(), 0)
            connection.finish_answer()
        except HttpError as failure:
            log.debug("refusal not delivered", reason=str(failure))
