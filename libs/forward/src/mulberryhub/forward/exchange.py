"""One attempt: a request sent to an upstream, and the head of its answer."""

from mulberryhub.http.messages import AnswerBroken

CONNECT_TIMEOUT = 300  # ms
STRAY_ANSWERS = 3  # answers to other requests that are skipped on one connection
ONCE_MAX_IDLE = 1_000  # ms idle after which a request that runs once gets a new one


class Exchange:
    """A request on its way: `head` and `facts` are set once the answer begins."""

    __slots__ = (
        "attempt",
        "head",
        "facts",
        "_request",
        "_work",
        "_connection",
        "_pool",
        "_loads",
    )

    def __init__(self, attempt, request, work, pool, loads):
        self.attempt = attempt
        self.head = None
        self.facts = None
        self._request = request
        self._work = work
        self._connection = None
        self._pool = pool
        self._loads = loads

    def open(self, is_repeatable):
        """Take a kept or new connection or raise ConnectFailed."""
        id = self.attempt.upstream.id
        self._loads.started(id, self._work)
        try:
            self._connection = self._connect(is_repeatable)
        except BaseException:
            self._loads.ended(id, self._work, False)
            raise

    def _connect(self, is_repeatable):
        address = self.attempt.upstream.address
        if is_repeatable:
            connection = self._pool.take_idle(address)
        else:
            connection = self._pool.take_idle(address, ONCE_MAX_IDLE)
        return connection or self._pool.open(address, CONNECT_TIMEOUT)

    def send(self, time_left):
        """Send the request or raise AnswerBroken."""
        self._connection.send(self._request, time_left)

    def read_head(self, read_answer, request_id, timeout):
        """Read the head of this request's answer; others on the connection go."""
        for _ in range(STRAY_ANSWERS):
            self.head = self._connection.read_head(timeout)
            self.facts = read_answer(self.head, self.attempt)
            if self.facts.request_id in (None, request_id):
                self._loads.answering(self.attempt.upstream.id, self._work)
                return
            self.head = None
            self._connection.skip_answer(self._request, timeout)
        raise AnswerBroken("only answers to other requests came")

    def read(self, timeout):
        """Return a piece of the answer's body, or None at its end."""
        return self._connection.read_data(timeout)

    def finish(self):
        """Keep the connection for later requests."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.give_back(connection)
            self._note_end()

    def cancel(self):
        """Close the connection, so that the upstream ends its work."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.close()
            self._note_end()

    def _note_end(self):
        is_answering = self.head is not None
        self._loads.ended(self.attempt.upstream.id, self._work, is_answering)
