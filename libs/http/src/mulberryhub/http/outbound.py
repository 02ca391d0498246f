"""One connection to an upstream: a request is sent whole, its answer read in pieces."""

import h11

from mulberryhub.base.green import sleep, spawn
from mulberryhub.http.messages import (
    AnswerBroken,
    AnswerCut,
    AnswerHead,
    AnswerTimeout,
    ConnectFailed,
    ConnectRefused,
    Headers,
)
from mulberryhub.http.sockets import dial, receive, reset

BACKGROUND_BODY = 32_768  # bytes from which a body is sent beside reading the answer
MAX_ANSWER_HEAD = 65_536  # bytes, interim answers before it included
MAX_STRAY_BODY = 1_048_576  # bytes of an answer to another request
TURN = 10  # ms of reading without a wait after which other green threads get a turn
WAIT = 2  # ms that a read takes at least if it had to wait


class OutboundConnection:
    """The client's end of a kept connection, with one request at a time."""

    __slots__ = (
        "address",
        "idle_since",
        "idle_limit",
        "_sock",
        "_http",
        "_sender",
        "_clock",
        "_received",
        "_turn_began",
    )

    def __init__(self, address, sock, clock):
        self.address = address
        self.idle_since = 0
        self.idle_limit = None
        self._sock = sock
        self._http = _new_parser()
        self._sender = None
        self._clock = clock
        self._received = 0
        self._turn_began = clock.now()

    @classmethod
    def open(cls, address, timeout, clock):
        """Connect within `timeout` ms or raise ConnectFailed."""
        try:
            return cls(address, dial(address, timeout), clock)
        except ConnectionRefusedError as error:
            raise ConnectRefused(f"{address}: {error}") from error
        except OSError as error:
            raise ConnectFailed(f"{address}: {error}") from error

    def send(self, request, timeout):
        """Send `request`; a long body goes on beside the answer."""
        data = self._prime(request)
        self._sock.settimeout(timeout / 1000)
        if len(data) > BACKGROUND_BODY:
            self._sender = spawn(self._send_all, data)
            return
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise _broken(f"{self.address}: send: {error}", error) from error

    def read_head(self, timeout):
        """Return the head of the answer, which must come within `timeout` ms."""
        end = self._clock.now() + timeout
        before = self._received
        while True:
            event = self._next_event(end)
            if isinstance(event, h11.Response):
                headers = Headers.from_pairs(event.headers.raw_items())
                self._note_keep_alive(headers)
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerCut(f"{self.address}: closed before an answer")
            if self._received - before > MAX_ANSWER_HEAD:
                raise AnswerBroken(f"{self.address}: interim answers without an end")

    def read_data(self, timeout):
        """Return a piece of the body, due within `timeout` ms, or None at its end."""
        self._share()
        event = self._next_event(self._clock.now() + timeout)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def read_whole(self, timeout, max_bytes):
        """Return the rest of the body, which must come within `timeout` ms."""
        pieces = []
        size = 0
        end = self._clock.now() + timeout
        while (data := self.read_data(end - self._clock.now())) is not None:
            size += len(data)
            if size > max_bytes:
                raise AnswerBroken(f"{self.address}: over {max_bytes} bytes")
            pieces.append(data)
        return b"".join(pieces)

    def skip_answer(self, request, timeout):
        """Drop an answer that belongs to another request; the next one is read then."""
        self.read_whole(timeout, MAX_STRAY_BODY)
        rest, closed = self._http.trailing_data
        if closed or not self._sent_whole():
            raise AnswerBroken(f"{self.address}: closed after a stray answer")
        self._http = _new_parser()
        self._prime(request)
        if rest:
            self._http.receive_data(rest)

    def release(self, now):
        """Make ready for another request; return whether the connection is reusable."""
        http = self._http
        if not self._sent_whole() or http.trailing_data != (b"", False):
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.idle_since = now
        return True

    def is_quiet(self):
        """Tell whether the idle connection is open and has no stray bytes."""
        try:
            self._sock.fd.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close at once; the upstream drops a request that still runs."""
        if self._sender is not None:
            self._sender.kill()
        reset(self._sock)

    def _prime(self, request):
        """Return the bytes of `request`, noted as sent by the parser."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers.pairs(),
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(parts)

    def _send_all(self, data):
        try:
            self._sock.sendall(data)
        except OSError:
            return False  # The reader of the answer meets the same failure.
        return True

    def _sent_whole(self):
        return self._sender is None or (self._sender.dead and self._sender.wait())

    def _next_event(self, end):
        """Return the parser's next event, which must come before `end` ms."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                is_cut = self._http.trailing_data[1]
                kind = AnswerCut if is_cut else AnswerBroken
                raise kind(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            self._share()
            self._http.receive_data(self._receive(end))

    def _share(self):
        """Give others a turn where bytes come faster than they are used up."""
        if self._clock.now() - self._turn_began >= TURN:
            sleep(0)
            self._turn_began = self._clock.now()

    def _receive(self, end):
        began = self._clock.now()
        if began >= end:
            raise AnswerTimeout(f"{self.address}: not in time")
        self._sock.settimeout((end - began) / 1000)
        try:
            data = receive(self._sock)
        except TimeoutError as error:
            waited = self._clock.now() - began
            raise AnswerTimeout(f"{self.address}: silent for {waited} ms") from error
        except OSError as error:
            raise _broken(f"{self.address}: {error}", error) from error
        self._received += len(data)
        now = self._clock.now()
        if now - began >= WAIT:
            self._turn_began = now
        return data

    def _note_keep_alive(self, headers):
        for item in headers.get(b"keep-alive", b"").split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit = int(value) * 1000


def _broken(text, error):
    """Return the AnswerBroken of a failed socket; only its peer cuts an answer."""
    is_cut = isinstance(error, (ConnectionResetError, BrokenPipeError))
    return AnswerCut(text) if is_cut else AnswerBroken(text)


def _new_parser():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD)
