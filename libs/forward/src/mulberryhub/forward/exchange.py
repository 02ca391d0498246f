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

        Answers to earlier requests on the same connection are skipped. `timeout` in ms
        applies to each read.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            self.head = self._connection.read_head(timeout)
            self.facts = read_answer(self.head, self.attempt)
            if self.facts.request_id in (None, request_id):
                self._loads.record_answering(self.attempt.upstream.id, self._work)
                return
            self.head = None
            self._connection.skip_response(self._request, timeout)
        raise ResponseBroken("received only answers to other requests")

    @property
    def is_certainly_not_run(self):
        """Return whether the answer promises that this request was not run.

        On a reused connection, a promise that names no request may be that of an
        earlier one, written once more.
        """
        is_attributed = self.facts.request_id is not None or not self.is_reused
        return self.facts.not_run and is_attributed

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
