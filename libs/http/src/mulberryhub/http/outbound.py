"""Client side of an upstream connection: sends a request, streams the response."""

from math import inf

import h11

from mulberryhub.base.connection_state import has_taken_all
from mulberryhub.base.green import Timeout, spawn
from mulberryhub.base.logs import error_text, module_logger
from mulberryhub.base.ranges import parse_count
from mulberryhub.http.messages import (
    ConnectionFailed,
    ConnectionRefused,
    Headers,
    ResponseBroken,
    ResponseHead,
    ResponseMalformed,
    ResponseTimeout,
    ResponseTruncated,
)
from mulberryhub.http.peer_watch import NO_USER_TIMEOUT, send_all
from mulberryhub.http.response_heads import find_fault
from mulberryhub.http.sockets import (
    USER_TIMEOUT_MS,
    connect,
    receive,
    receive_arrived,
    reset,
)
from mulberryhub.http.turns import RunTime, read_turns

BACKGROUND_SEND_BYTES = 32_768  # longer requests are sent while the response is read
MAX_RESPONSE_HEAD_BYTES = 65_536  # including interim (1xx) responses
MAX_SKIPPED_BODY_BYTES = 1_048_576  # of a response to another request

log = module_logger(__name__)


class OutboundConnection:
    """Client side of a keep-alive connection that carries one request at a time.

    `opened_at` and `idle_since` are clock ms. `keep_alive_timeout_ms` is the idle
    timeout that the upstream announced in its Keep-Alive header, or None.
    """

    __slots__ = (
        "address",
        "opened_at",
        "idle_since",
        "keep_alive_timeout_ms",
        "_sock",
        "_user_timeout",
        "_http",
        "_send_thread",
        "_clock",
        "_received_bytes",
        "_run_time",
    )

    def __init__(self, address, sock, clock, user_timeout=USER_TIMEOUT_MS):
        self.address = address
        self.opened_at = clock.now()
        self.idle_since = 0
        self.keep_alive_timeout_ms = None
        self._sock = sock
        self._user_timeout = user_timeout
        self._http = _new_parser()
        self._send_thread = None
        self._clock = clock
        self._received_bytes = 0
        self._run_time = RunTime()

    @classmethod
    def open(cls, address, timeout, clock, user_timeout=USER_TIMEOUT_MS):
        """Connect within `timeout` ms or raise ConnectionFailed.

        What is sent fails the connection if it stays unacknowledged for `user_timeout`
        ms; it may stay unread for longer.
        """
        try:
            sock = connect(address, timeout, NO_USER_TIMEOUT)
            return cls(address, sock, clock, user_timeout)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"{address}: {error_text(error)}") from error
        except OSError as error:
            raise ConnectionFailed(f"{address}: {error_text(error)}") from error

    def send(self, request, timeout):
        """Send `request`; a long one is sent in the background.

        `timeout` in ms limits each write. Raises ResponseBroken, except in the
        background, where the failure shows up when the response is read.
        """
        parts = self._encode_request(request)
        self._run_time.restart()
        if sum(map(len, parts)) > BACKGROUND_SEND_BYTES:
            self._send_thread = spawn(self._send_parts, parts, timeout)
            return
        try:
            self._send(b"".join(parts), timeout)
        except OSError as error:
            message = f"{self.address}: send: {error_text(error)}"
            raise _connection_error(message, error) from error

    def read_head(self, timeout):
        """Return the head of the response, which must arrive within `timeout` ms.

        Raises ResponseBroken or ResponseTimeout.
        """
        deadline = self._clock.now() + timeout
        received_before = self._received_bytes
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.Response):
                headers = Headers.from_pairs(event.headers.raw_items())
                head = ResponseHead(event.status_code, headers)
                fault = find_fault(head, event.http_version)
                if fault is not None:
                    raise ResponseMalformed(f"{self.address}: {fault}")
                self._store_keep_alive_timeout(headers)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseTruncated(f"{self.address}: closed before the response")
            if self._received_bytes - received_before > MAX_RESPONSE_HEAD_BYTES:
                raise ResponseBroken(f"{self.address}: too many interim responses")

    def read_data(self, timeout):
        """Return the next piece of the body, or None at its end.

        It must arrive within `timeout` ms. Raises ResponseBroken or ResponseTimeout.
        """
        event = self._next_event(self._clock.now() + timeout)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def read_body(self, timeout, max_bytes, max_silence=inf):
        """Return the rest of the body, which must arrive within `timeout` ms.

        Each piece must arrive within `max_silence` ms.
        Raises ResponseTimeout, or ResponseBroken, also for a body longer than
        `max_bytes`.
        """
        body = bytearray()  # joined at once, as short pieces take more than their bytes
        deadline = self._clock.now() + timeout
        while True:
            time_left = deadline - self._clock.now()
            data = self.read_data(min(max_silence, time_left))
            if data is None:
                return bytes(body)
            if len(body) + len(data) > max_bytes:
                raise ResponseBroken(f"{self.address}: body exceeds {max_bytes} bytes")
            body += data

    def skip_response(self, request, timeout):
        """Discard the rest of a response that belongs to another request.

        The next response on the connection is then read as the one to `request`.
        """
        self.read_body(timeout, MAX_SKIPPED_BODY_BYTES)
        remaining, closed = self._http.trailing_data
        if closed or not self._is_request_sent():
            raise ResponseBroken(
                f"{self.address}: closed after a response to another request"
            )
        self._http = _new_parser()
        self._encode_request(request)
        if remaining:
            self._http.receive_data(remaining)

    def prepare_for_reuse(self, now):
        """Reset the parser for another request; return whether that is possible.

        `now` is clock ms. The connection is reusable after a complete exchange only,
        with no bytes after the response.
        """
        http = self._http
        if not self._is_request_sent() or http.trailing_data != (b"", False):
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.idle_since = now
        return True

    def is_usable(self):
        """Return whether the idle connection is open and has no unexpected bytes."""
        try:
            self._sock.fd.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Reset the connection; the upstream then drops a request that still runs."""
        if self._send_thread is not None:
            self._send_thread.kill()
        reset(self._sock)

    def _encode_request(self, request):
        """Return the parts of `request`, which the parser counts as sent.

        The body is not copied.
        """
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers.pairs(),
        )
        parts = [self._http.send(head)]
        if request.body:
            parts += self._http.send_with_data_passthrough(h11.Data(data=request.body))
        parts.append(self._http.send(h11.EndOfMessage()))
        return parts

    def _send(self, data, timeout):
        send_all(self._sock, data, self._user_timeout, lambda: timeout)

    def _send_parts(self, parts, timeout):
        try:
            for part in parts:
                self._send(part, timeout)
        except OSError as error:
            # The response may seem to end in order, as the error is told only once.
            log.debug("request not sent", to=self.address, reason=error_text(error))
            return False
        return True

    def _is_request_sent(self):
        return self._send_thread is None or (
            self._send_thread.dead and self._send_thread.wait()
        )

    def _next_event(self, deadline):
        """Return the parser's next event, due by `deadline` (clock ms)."""
        while True:
            self._wait_for_turn(deadline)
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                is_cut = self._http.trailing_data[1]
                error_type = ResponseTruncated if is_cut else ResponseMalformed
                raise error_type(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(self._receive(deadline))

    def _wait_for_turn(self, deadline):
        """Let other green threads run if this one has had its time.

        Otherwise bytes that arrive faster than they are processed starve the others.
        Raise ResponseTimeout after `deadline` (clock ms).
        """
        if not self._run_time.is_used_up():
            return
        read_turns.wait()
        self._run_time.restart()
        self._check_deadline(deadline)

    def _check_deadline(self, deadline):
        if self._clock.now() >= deadline:
            raise ResponseTimeout(f"{self.address}: timed out")

    def _receive(self, deadline):
        self._check_deadline(deadline)
        started = self._clock.now()
        self._run_time.begin_wait()
        try:
            data = self._read(max(1, deadline - started) / 1000)
        except TimeoutError as error:
            waited_ms = self._clock.now() - started
            raise ResponseTimeout(
                f"{self.address}: no data for {waited_ms} ms"
            ) from error
        except OSError as error:
            message = f"{self.address}: {error_text(error)}"
            raise _connection_error(message, error) from error
        if not data:
            self._check_end(deadline)
        self._received_bytes += len(data)
        self._run_time.end_wait(self._clock.now() - started)
        return data

    def _check_end(self, deadline):
        """Raise ResponseTruncated if the stream ended before the request was taken.

        An upstream that answers before it has read a long request may reset the
        connection. The sender may then have got the error, and the reader an orderly
        end, or the reset may come after that.
        """
        with Timeout(max(0, deadline - self._clock.now()) / 1000, False):
            if self._send_thread is not None:
                self._send_thread.wait()
        if not self._is_request_sent() or not has_taken_all(
            self._sock.fd, deadline, self._clock.now
        ):
            raise ResponseTruncated(f"{self.address}: closed within the request")

    def _read(self, timeout):
        """Return the next bytes that arrive within `timeout` s.

        A process that stood still finds that the time has passed before it looks for
        what came meanwhile.
        """
        try:
            return receive(self._sock, timeout)
        except TimeoutError:
            return receive_arrived(self._sock)

    def _store_keep_alive_timeout(self, headers):
        for item in headers.get(b"keep-alive", b"").split(b","):
            name, _, value = item.strip().partition(b"=")
            timeout = parse_count(value)
            if name.lower() == b"timeout" and timeout is not None:
                self.keep_alive_timeout_ms = timeout * 1000


def _connection_error(message, error):
    """Return ResponseTruncated if the peer closed early, else ResponseBroken."""
    is_cut = isinstance(error, (ConnectionResetError, BrokenPipeError))
    return ResponseTruncated(message) if is_cut else ResponseBroken(message)


def _new_parser():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
