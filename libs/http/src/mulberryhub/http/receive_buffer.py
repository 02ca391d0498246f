"""Read-ahead buffer of a client connection, which detects its close at once."""

from collections import deque

from mulberryhub.base.green import Event, Timeout
from mulberryhub.base.tasks import spawn_task
from mulberryhub.http.sockets import receive

# Many connections may be read ahead at once, so each holds little.
READ_BYTES = 16_384
MAX_READ_AHEAD_BYTES = 32_768


class ReceiveBuffer:
    """Reads a socket ahead in a separate green thread.

    `on_close` is called once when the client closes or the connection fails.
    """

    __slots__ = (
        "closed",
        "on_close",
        "_sock",
        "_chunks",
        "_buffered_bytes",
        "_data_available",
        "_space_available",
    )

    def __init__(self, sock):
        self.closed = False
        self.on_close = None
        self._sock = sock
        self._chunks = deque()
        self._buffered_bytes = 0
        self._data_available = None
        self._space_available = None

    def is_empty(self):
        """Return whether the buffer holds no bytes."""
        return not self._chunks

    def start(self):
        """Start to read in the background."""
        spawn_task(self._read_ahead)

    def read(self, timeout):
        """Return the next bytes, or b"" at the end of the stream.

        Raises TimeoutError if nothing arrives within `timeout` ms.
        """
        if not self._chunks and not self.closed:
            self._data_available = Event()
            with Timeout(timeout / 1000, TimeoutError):
                self._data_available.wait()
        if not self._chunks:
            return b""
        data = self._chunks.popleft()
        self._buffered_bytes -= len(data)
        if self._space_available is not None:
            event, self._space_available = self._space_available, None
            event.send()
        return data

    def _read_ahead(self):
        while True:
            try:
                data = receive(self._sock, max_bytes=READ_BYTES)
            except OSError:
                data = b""  # A reset ends the stream like a close.
            if not data:
                self._handle_close()
                return
            self._chunks.append(data)
            self._buffered_bytes += len(data)
            self._notify_reader()
            if self._buffered_bytes >= MAX_READ_AHEAD_BYTES:
                self._space_available = Event()
                self._space_available.wait()

    def _handle_close(self):
        self.closed = True
        self._notify_reader()
        if self.on_close is not None:
            self.on_close()

    def _notify_reader(self):
        if self._data_available is not None and not self._data_available.ready():
            self._data_available.send()
