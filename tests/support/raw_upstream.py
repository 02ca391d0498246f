"""Upstream that answers with any bytes, also such that are no HTTP."""

from contextlib import contextmanager

from mulberryhub.base.green import listen, sleep, socket, spawn

CLOSE_WAIT_MS = 5_000


class RawUpstream:
    """Server whose `answer(connection)` serves each connection.

    `heads` holds the heads of the requests, `sent_bytes` what was taken of answers.
    """

    def __init__(self, answer):
        self._answer = answer
        self.heads = []
        self.sent_bytes = 0
        self._listener = listen(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._thread = spawn(self._accept)

    def requests(self, start):
        """Return how many requests had a request line that begins with `start`."""
        return sum(head.startswith(start) for head in self.heads)

    def close(self):
        self._thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            connected_socket, _ = self._listener.accept()
            spawn(self._serve, connected_socket)

    def _serve(self, connected_socket):
        connection = RawConnection(self, connected_socket)
        try:
            while connection.read_request():
                self._answer(connection)
        except OSError:
            pass  # the router closed the connection
        finally:
            connected_socket.close()


class RawConnection:
    """A connection to a RawUpstream and the last request on it."""

    def __init__(self, upstream, connected_socket):
        self._upstream = upstream
        self._socket = connected_socket
        self._buffer = b""
        self.head = b""
        self.body = b""

    def read_request(self):
        """Read the next request; return whether there is one."""
        while b"\r\n\r\n" not in self._buffer:
            if not self._receive():
                return False
        self.head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        self._upstream.heads.append(self.head)
        length = int(self.header(b"content-length") or 0)
        while len(self._buffer) < length:
            if not self._receive():
                return False
        self.body, self._buffer = self._buffer[:length], self._buffer[length:]
        return True

    def header(self, name):
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.lower() == name:
                return value.strip()
        return b""

    def send(self, data):
        self._socket.sendall(data)
        self._upstream.sent_bytes += len(data)

    def send_endlessly(self, piece, max_bytes, pause_ms=0):
        """Send `piece` again and again until the router closes, or `max_bytes`."""
        for _ in range(max_bytes // len(piece)):
            self.send(piece)
            sleep(pause_ms / 1000)

    def end(self):
        """End the answer, and wait until the router closes too."""
        self._socket.shutdown(socket.SHUT_WR)
        self._socket.settimeout(CLOSE_WAIT_MS / 1000)
        while self._socket.recv(65_536):
            pass

    def _receive(self):
        data = self._socket.recv(65_536)
        self._buffer += data
        return bool(data)


@contextmanager
def raw_upstream(answer):
    upstream = RawUpstream(answer)
    try:
        yield upstream
    finally:
        upstream.close()
