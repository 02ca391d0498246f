"""HTTP client that reads complete responses, limited in time and in size."""

from mulberryhub.http.pool import ConnectionPool

CONNECT_TIMEOUT_MS = 300


class Response:
    """A complete response: status code and body bytes."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class HttpClient:
    """Sends requests over a connection pool of its own."""

    __slots__ = ("_pool", "_clock")

    def __init__(self, clock):
        self._pool = ConnectionPool(clock)
        self._clock = clock

    def send(self, address, request, timeout, max_bytes, needs_new_connection=False):
        """Send `request` to `address` and return the Response, or raise HttpError.

        `timeout` limits the whole exchange in ms, connecting included. `max_bytes`
        limits the length of the response body. On a new connection, the response can be
        to no other request.
        """
        deadline = self._clock.now() + timeout
        self._pool.close_expired()
        connection = None
        if not needs_new_connection:
            connection = self._pool.take_idle(address)
        if connection is None:
            connection = self._pool.open(address, min(CONNECT_TIMEOUT_MS, timeout))
        try:
            connection.send(request, self._remaining_ms(deadline))
            head = connection.read_head(self._remaining_ms(deadline))
            body = connection.read_body(self._remaining_ms(deadline), max_bytes)
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return Response(head.status, body)

    def _remaining_ms(self, deadline):
        return max(1, deadline - self._clock.now())
