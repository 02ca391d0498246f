"""One client's connection: requests are read whole, answers written as they come."""

import h11

from mulberryhub.http.inbox import Inbox
from mulberryhub.http.messages import BadRequest, Headers, HttpError, Request
from mulberryhub.http.sockets import close, has_unread, reset

STATUS_HEADER_TOO_LARGE = 431
STATUS_BODY_TOO_LARGE = 413
STATUS_SLOW = 408
STATUS_BAD = 400
HEADER_ROOM = 1_024  # bytes of a request line and line ends beyond the header limit


class Limits:
    """What a client may send (bytes) and how long it may take or idle (ms)."""

    __slots__ = ("header_bytes", "body_bytes", "header_time", "idle_time")

    def __init__(self, header_bytes, body_bytes, header_time, idle_time):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_time = header_time
        self.idle_time = idle_time


class InboundConnection:
    """The server's end of a connection with at most one request at a time."""

    __slots__ = (
        "inbox",
        "closing",
        "closed",
        "_sock",
        "_clock",
        "_limits",
        "_http",
    )

    def __init__(self, sock, limits, clock):
        self.inbox = Inbox(sock)
        self.closing = False
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + HEADER_ROOM
        )
        self.inbox.start()

    def read_request(self):
        """Return the next request, or None where the client closed or stayed idle.

        Raise BadRequest where an answer with its status is due before the close.
        """
        head = self._next_head()
        if head is None:
            return None
        arrived = self._clock.now()
        headers = Headers.from_pairs(head.headers.raw_items())
        self._check(headers)
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body()
        return Request(head.method, head.target, headers, body, arrived)

    def start_answer(self, status, headers, length=None, is_framed=True):
        """Send the head of the answer; without `length` it is sent in chunks.

        One that is not framed ends with the connection, as its upstream's did.
        """
        if not is_framed:
            # The parser frames all answers but those to clients of version 1.0.
            self._http.their_http_version = b"1.0"
            length = None
        fields = headers.without((b"content-length",))
        if length is not None:
            fields.add(b"Content-Length", b"%d" % length)
        if self.closing:
            fields.add(b"Connection", b"close")
        self._write(
            h11.Response(status_code=status, headers=fields.pairs(), reason=b"")
        )

    def write(self, data):
        """Send a piece of the answer's body."""
        self._write(h11.Data(data=data))

    def finish_answer(self):
        """End the answer; return whether the connection serves another request."""
        self._write(h11.EndOfMessage())
        if self._http.our_state is h11.MUST_CLOSE or self.closing:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def can_answer(self):
        """Tell whether the protocol still allows the head of an answer."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def close_if_idle(self):
        """Close where no request has begun to arrive; else close after its answer."""
        self.closing = True
        has_begun = self._http.their_state is not h11.IDLE
        if has_begun or self._http.trailing_data[0] or not self.inbox.is_empty():
            return
        if not has_unread(self._sock):
            self.close()

    def close(self):
        """Close after what was sent."""
        self.closed = True
        close(self._sock)

    def abort(self):
        """Reset, so that an answer that was cut short does not look complete."""
        reset(self._sock)

    def _next_head(self):
        timeout = self._limits.idle_time
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            began = bool(self._http.trailing_data[0])
            try:
                data = self.inbox.take(self._limits.header_time if began else timeout)
            except TimeoutError:
                if began:
                    raise BadRequest(STATUS_SLOW, "the header did not arrive in time")
                return None
            if not data:
                return None
            self._http.receive_data(data)

    def _read_body(self):
        pieces = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise BadRequest(STATUS_BODY_TOO_LARGE, "the body is too large")
                pieces.append(bytes(event.data))
                continue
            try:
                data = self.inbox.take(self._limits.idle_time)
            except TimeoutError:
                raise BadRequest(STATUS_SLOW, "the body did not arrive in time")
            if not data:
                raise HttpError("the client closed in the middle of its request")
            self._http.receive_data(data)

    def _next_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error))

    def _check(self, headers):
        if headers.size() > self._limits.header_bytes:
            raise BadRequest(STATUS_HEADER_TOO_LARGE, "the header is too large")
        lengths = headers.get_all(b"content-length")
        if lengths and headers.get(b"transfer-encoding") is not None:
            raise BadRequest(STATUS_BAD, "both a length and a transfer coding")
        if lengths and int(lengths[0].split(b",")[0]) > self._limits.body_bytes:
            raise BadRequest(STATUS_BODY_TOO_LARGE, "the body is too large")

    def _write(self, event):
        data = self._http.send(event)
        if data:
            try:
                self._sock.sendall(data)
            except OSError as error:
                raise HttpError(f"the client cannot be written to: {error}")
