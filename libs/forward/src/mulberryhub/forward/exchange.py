"""One attempt on the wire: the connection, the request and its answer."""

from mulberryhub.http.messages import ResponseBroken

CONNECT_TIMEOUT_MS = 300
MAX_STRAY_ANSWERS = 3  # answers to other requests skipped on one connection
# Connections idle for longer are not used for requests that may run only once.
NON_REPEATABLE_MAX_IDLE_MS = 1_000


class Exchange:
    """A request sent to an upstream and its answer.

    `head` and `facts` (AnswerFacts) are set once the head of the answer was read.
    `is_reused` is set if the connection carried other requests before, which was opened
    at `connected_at` (ms).
    """

    __slots__ = (
        "attempt",
        "head",
        "facts",
        "is_reused",
        "connected_at",
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
        self.is_reused = False
        self.connected_at = None
        self._request = request
        self._work = work
        self._connection = None
        self._pool = pool
        self._loads = loads

    def open(self, is_repeatable):
        """Reuse an idle connection or open a new one; raise ConnectionFailed."""
        id = self.attempt.upstream.id
        self._loads.record_sent(id, self._work)
        try:
            self._connection = self._connect(is_repeatable)
            self.connected_at = self._connection.opened_at
        except BaseException:
            self._loads.record_ended(id, self._work, False)
            raise

    def _connect(self, is_repeatable):
        address = self.attempt.upstream.address
        if is_repeatable:
            connection = self._pool.take_idle(address)
        else:
            connection = self._pool.take_idle(address, NON_REPEATABLE_MAX_IDLE_MS)
        self.is_reused = connection is not None
        return connection or self._pool.open(address, CONNECT_TIMEOUT_MS)

    def send(self, time_left):
        """Send the request within `time_left` ms or raise ResponseBroken."""
        self._connection.send(self._request, time_left)

    def read_head(self, read_answer, request_id, timeout):
        """Read the head of the answer to the request with `request_id`.

        Answers to earlier requests on the same connection are skipped. Behind them, and
        on a reused connection, an answer that names no request may be that of an
        earlier one, so that it is broken. `timeout` in ms applies to each read.
        """
        must_name_request = self.is_reused
        for _ in range(MAX_STRAY_ANSWERS):
            head = self._connection.read_head(timeout)
            facts = read_answer(head, self.attempt)
            if facts.request_id is None and must_name_request:
                raise ResponseBroken("the answer names no request")
            if facts.request_id in (None, request_id):
                self.head, self.facts = head, facts
                self._loads.record_answering(self.attempt.upstream.id, self._work)
                return
            self._connection.skip_response(self._request, timeout)
            must_name_request = True
        raise ResponseBroken("received only answers to other requests")

    def read(self, timeout):
        """Return the next bytes of the answer's body, or None at its end."""
        return self._connection.read_data(timeout)

    def finish(self):
        """Return the connection to the pool."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.release(connection)
            self._record_end()

    def cancel(self):
        """Close the connection, so that the upstream stops its work."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.close()
            self._record_end()

    def _record_end(self):
        had_answer = self.head is not None
        self._loads.record_ended(self.attempt.upstream.id, self._work, had_answer)
