"""HTTP client that reads complete responses, limited in time and in size."""

from math import inf

from mulberryhub.http.messages import Headers
from mulberryhub.http.pool import ConnectionPool
from mulberryhub.http.sockets import USER_TIMEOUT_MS

CONNECT_TIMEOUT_MS = 300


class Response:
    """A complete response: status code, body bytes and Headers."""

    __slots__ = ("status", "body", "headers")

    def __init__(self, status, body, headers=None):
        self.status = status
        self.body = body
        self.headers = headers or Headers()


class HttpClient:
    """Sends requests over a connection pool of its own.

    Data that stays unacknowledged for `user_timeout` ms fails its connection.
    """

    __slots__ = ("_pool", "_clock")

    def __init__(self, clock, user_timeout=USER_TIMEOUT_MS):
        self._pool = ConnectionPool(clock, user_timeout)
        self._clock = clock

    def send(
        self,
        address,
        request,
        timeout,
        max_bytes,
        max_silence=inf,
        needs_new_connection=False,
    ):
        """Send `request` to `address` and return the Response, or raise HttpError.

        `timeout` limits the whole exchange in ms, connecting included, and
        `max_silence` the ms for the head and between two pieces of the body.
        `max_bytes` limits the length of the response body. On a new connection, the
        response can be to no other request.
        """
        deadline = self._clock.now() + timeout
        self._pool.close_expired()
        connection = None
        if not needs_new_connection:
            connection = self._pool.take_idle(address)
        if connection is None:
            connection = self._pool.open(address, min(CONNECT_TIMEOUT_MS, timeout))
        try:
            connection.send(request, min(max_silence, self._remaining_ms(deadline)))
            head = connection.read_head(min(max_silence, self._remaining_ms(deadline)))
            body = connection.read_body(
                self._remaining_ms(deadline), max_bytes, max_silence
            )
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return Response(head.status, body, head.headers)

    def _remaining_ms(self, deadline):
        return max(1, deadline - self._clock.now())
