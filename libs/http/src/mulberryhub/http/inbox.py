"""Bytes of a client's connection, read ahead so that its close is seen at once."""

from collections import deque

from mulberryhub.base.green import Event, Timeout
from mulberryhub.base.tasks import spawn_task
from mulberryhub.http.sockets import receive

READ_AHEAD = 262_144  # bytes


class Inbox:
    """Reads a socket in a green thread of its own.

    `on_close` is called once when the client closes or the connection fails.
    """

    __slots__ = ("closed", "on_close", "_sock", "_chunks", "_size", "_arrived", "_room")

    def __init__(self, sock):
        self.closed = False
        self.on_close = None
        self._sock = sock
        self._chunks = deque()
        self._size = 0
        self._arrived = None
        self._room = None

    def is_empty(self):
        """Tell whether no bytes wait to be taken."""
        return not self._chunks

    def start(self):
        """Begin to read."""
        spawn_task(self._run)

    def take(self, timeout):
        """Return the next bytes, b"" at the end, or raise TimeoutError after ms."""
        if not self._chunks and not self.closed:
            self._arrived = Event()
            with Timeout(timeout / 1000, TimeoutError):
                self._arrived.wait()
        if not self._chunks:
            return b""
        data = self._chunks.popleft()
        self._size -= len(data)
        if self._room is not None:
            room, self._room = self._room, None
            room.send()
        return data

    def _run(self):
        while True:
            try:
                data = receive(self._sock)
            except OSError:
                data = b""  # A reset ends the connection as a close does.
            if not data:
                self._end()
                return
            self._chunks.append(data)
            self._size += len(data)
            self._wake()
            if self._size >= READ_AHEAD:
                self._room = Event()
                self._room.wait()

    def _end(self):
        self.closed = True
        self._wake()
        if self.on_close is not None:
            self.on_close()

    def _wake(self):
        if self._arrived is not None and not self._arrived.ready():
            self._arrived.send()
