"""Calls whose whole answer is wanted, within a time and a size."""

from mulberryhub.http.pool import Pool

CONNECT_TIMEOUT = 300  # ms


class Answer:
    """A whole answer: its status and its body."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class Caller:
    """Makes calls over kept connections of its own."""

    __slots__ = ("_pool", "_clock")

    def __init__(self, clock):
        self._pool = Pool(clock)
        self._clock = clock

    def call(self, address, request, timeout, max_bytes):
        """Send `request` to `address` and return the Answer, or raise HttpError.

        `timeout` is the ms for all of it, `max_bytes` the longest body.
        """
        end = self._clock.now() + timeout
        self._pool.close_expired()
        connection = self._pool.take_idle(address)
        if connection is None:
            connection = self._pool.open(address, min(CONNECT_TIMEOUT, timeout))
        try:
            connection.send(request, self._left(end))
            head = connection.read_head(self._left(end))
            body = connection.read_whole(self._left(end), max_bytes)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(connection)
        return Answer(head.status, body)

    def _left(self, end):
        return max(1, end - self._clock.now())
