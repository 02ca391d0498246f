"""Server side of a client connection: reads whole requests, streams responses."""

from sys import maxsize

import h11

from mulberryhub.http.messages import (
    BODILESS_STATUSES,
    BadRequest,
    Headers,
    HeldResponse,
    HttpError,
    Request,
)
from mulberryhub.http.peer_watch import send_all
from mulberryhub.http.receive_buffer import ReceiveBuffer
from mulberryhub.http.sockets import (
    USER_TIMEOUT_MS,
    close,
    has_unread_data,
    reset,
    shut_down_writing,
)

STATUS_HEADER_TOO_LARGE = 431
STATUS_BODY_TOO_LARGE = 413
STATUS_REQUEST_TIMEOUT = 408
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
REQUEST_LINE_ALLOWANCE_BYTES = 1_024  # request line and line ends, on top of headers
MAX_HELD_BODY_BYTES = 1_048_576  # of a response to a client that reads no chunks
MEMORY_RETRY_AFTER_S = 1  # once the bodies of other requests use all of the memory
MAX_LINGER_MS = 2_000  # for a client that still sends a request that was rejected
HTTP_1_0 = b"1.0"


class InboundConnection:
    """Server side of a keep-alive connection that serves one request at a time.

    `read_limits()` returns the current RequestLimits. Each request has those of the
    time at which its head is read, however long the connection was open before.
    `body_memory` is the BodyMemory of all connections.
    `close_after_response` announces and forces a close after the current response.
    """

    __slots__ = (
        "receive_buffer",
        "close_after_response",
        "closed",
        "_sock",
        "_clock",
        "_read_limits",
        "_limits",
        "_http",
        "_held_response",
        "_reservation",
        "_write_deadline",
    )

    def __init__(self, sock, read_limits, body_memory, clock):
        self.receive_buffer = ReceiveBuffer(sock)
        self.close_after_response = False
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._read_limits = read_limits
        self._limits = read_limits()
        # `_next_event` has a limit that follows the configuration.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=maxsize)
        self._held_response = None
        self._reservation = body_memory.new_reservation()
        self._write_deadline = None
        self.receive_buffer.start()

    def read_request(self):
        """Return the next request, or None if the client closed or stayed idle.

        Raises BadRequest if a response with that status is due before the close,
        HttpError if the client closed within a request.
        """
        self._reservation.release()
        self._write_deadline = None
        head = self._read_head()
        if head is None:
            return None
        arrived_at = self._clock.now()
        headers = Headers.from_pairs(head.headers.raw_items())
        self._check_headers(headers)
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body()
        return Request(head.method, head.target, headers, body, arrived_at)

    def limit_writing(self, deadline):
        """Let writes of the response fail from `deadline` (clock ms) on.

        Without it, a client may read as slowly as it likes, but must read something
        within the idle timeout.
        """
        self._write_deadline = deadline

    def start_response(self, status, headers, length=None):
        """Send the head of the response; without `length` the body is sent chunked.

        Each response states its end: the kernel closes the connections of a killed
        process in order, so a close must not be the end of a body. An HTTP/1.0 client
        reads no chunks, so it gets the response with its length, once it is complete.
        """
        if length is None and self._http.their_http_version == HTTP_1_0:
            self._held_response = HeldResponse(status, headers)
            return
        self._held_response = None
        self._send_head(status, headers, length)

    def write(self, data):
        """Send a piece of the response body; raise HttpError if that fails.

        It fails too if the response to an HTTP/1.0 client is too long to be held.
        """
        held = self._held_response
        if held is None:
            self._write(h11.Data(data=data))
            return
        held.body += data
        if len(held.body) > MAX_HELD_BODY_BYTES:
            raise HttpError("response without a length is too long for HTTP/1.0")

    def finish_response(self):
        """End the response; return whether the connection can serve another request."""
        held, self._held_response = self._held_response, None
        if held is not None:
            length = None if held.status in BODILESS_STATUSES else len(held.body)
            self._send_head(held.status, held.headers, length)
            self._write(h11.Data(data=bytes(held.body)))
        self._write(h11.EndOfMessage())
        if self._http.our_state is h11.MUST_CLOSE or self.close_after_response:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def can_send_head(self):
        """Return whether the protocol state still allows a response head."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def announce_close(self):
        """Close after the next response whose head has not been sent."""
        if self.can_send_head():
            self.close_after_response = True

    def close_if_idle(self):
        """Close now if no byte of a request has arrived, else after its response."""
        self.close_after_response = True
        has_begun = self._http.their_state is not h11.IDLE
        if (
            has_begun
            or self._http.trailing_data[0]
            or not self.receive_buffer.is_empty()
        ):
            return
        if not has_unread_data(self._sock):
            self.close()

    def linger(self):
        """Let the client finish a rejected request, so that it reads the response.

        A close with unread bytes resets the connection, and the response is lost.
        """
        shut_down_writing(self._sock)
        deadline = self._clock.now() + MAX_LINGER_MS
        try:
            while (time_left := deadline - self._clock.now()) > 0:
                if not self.receive_buffer.read(time_left):
                    return
        except TimeoutError:
            return

    def close(self):
        """Close the connection; data that was written is still delivered."""
        self.closed = True
        self._reservation.release()
        close(self._sock)

    def abort(self):
        """Reset the connection, so that a truncated response does not look complete."""
        reset(self._sock)

    def _send_head(self, status, headers, length):
        fields = headers.without((b"content-length",))
        if length is not None:
            fields.add(b"Content-Length", b"%d" % length)
        if self.close_after_response:
            fields.add(b"Connection", b"close")
        self._write(
            h11.Response(status_code=status, headers=fields.pairs(), reason=b"")
        )

    def _read_head(self):
        idle_since = self._clock.now()
        while True:
            self._limits = self._read_limits()
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            has_begun = bool(self._http.trailing_data[0])
            try:
                data = self.receive_buffer.read(self._head_timeout(idle_since))
            except TimeoutError:
                if has_begun:
                    raise BadRequest(
                        STATUS_REQUEST_TIMEOUT, "timed out waiting for the header"
                    )
                if self._is_idle_time_left(idle_since):
                    continue
                return None
            if not data:
                return None
            self._http.receive_data(data)

    def _head_timeout(self, idle_since):
        """Return the ms to wait for the first or for more bytes of a head."""
        if self._http.trailing_data[0]:
            return self._limits.header_timeout_ms
        idle_time = self._clock.now() - idle_since
        return max(0, self._limits.idle_timeout_ms - idle_time)

    def _is_idle_time_left(self, idle_since):
        """Return whether the idle timeout was raised during the wait."""
        return self._clock.now() - idle_since < self._read_limits().idle_timeout_ms

    def _read_body(self):
        pieces = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.max_body_bytes:
                    raise BadRequest(
                        STATUS_BODY_TOO_LARGE,
                        f"the body exceeds {self._limits.max_body_bytes} bytes",
                    )
                self._reserve(size)
                pieces.append(bytes(event.data))
                continue
            try:
                data = self.receive_buffer.read(self._limits.idle_timeout_ms)
            except TimeoutError:
                raise BadRequest(
                    STATUS_REQUEST_TIMEOUT, "timed out waiting for the body"
                )
            if not data:
                raise HttpError("the client closed the connection within a request")
            self._http.receive_data(data)

    def _next_event(self):
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error))
        if event is h11.NEED_DATA:
            self._check_incomplete_event()
        return event

    def _check_incomplete_event(self):
        """Check what has arrived of a head, of a chunk's head or of trailers."""
        maximum = self._limits.max_header_bytes + REQUEST_LINE_ALLOWANCE_BYTES
        if len(self._http.trailing_data[0]) > maximum:
            raise BadRequest(
                STATUS_HEADER_TOO_LARGE, f"more than {maximum} bytes without an end"
            )

    def _check_headers(self, headers):
        if headers.size() > self._limits.max_header_bytes:
            raise BadRequest(
                STATUS_HEADER_TOO_LARGE,
                f"the header exceeds {self._limits.max_header_bytes} bytes",
            )
        lengths = headers.get_all(b"content-length")
        if lengths and headers.get(b"transfer-encoding") is not None:
            raise BadRequest(
                STATUS_BAD_REQUEST, "both Content-Length and Transfer-Encoding are set"
            )
        length = int(lengths[0].split(b",")[0]) if lengths else 0
        if length > self._limits.max_body_bytes:
            raise BadRequest(
                STATUS_BODY_TOO_LARGE,
                f"the body exceeds {self._limits.max_body_bytes} bytes",
            )
        self._reserve(length)

    def _reserve(self, size):
        """Reserve memory for a body of `size` bytes, or raise BadRequest."""
        if not self._reservation.try_grow(size):
            raise BadRequest(
                STATUS_UNAVAILABLE,
                "the bodies of other requests use all of the memory",
                MEMORY_RETRY_AFTER_S,
            )

    def _write(self, event):
        data = self._http.send(event)
        if data:
            try:
                send_all(self._sock, data, USER_TIMEOUT_MS, self._time_for_write)
            except OSError as error:
                raise HttpError(f"cannot write to the client: {error}")

    def _time_for_write(self):
        """Return the ms for which a write may wait; raise TimeoutError without any."""
        idle_timeout = self._limits.idle_timeout_ms
        if self._write_deadline is None:
            return idle_timeout
        time_left = self._write_deadline - self._clock.now()
        if time_left <= 0:
            raise TimeoutError("the deadline of the request has passed")
        return min(idle_timeout, time_left)
