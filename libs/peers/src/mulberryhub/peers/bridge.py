"""Hands work from grpcio's native threads to the eventlet hub."""

import socket
from collections import deque

from mulberryhub.base.green import hubs, spawn

WAKE_BYTES = 4_096  # bytes


class Bridge:
    """A queue of calls that native threads post and the hub's thread runs.

    A bridge belongs to the hub of the thread that made it. A byte on a socket
    pair wakes the hub, and one byte covers all calls posted before it is read.
    """

    __slots__ = ("_pending", "_signalled", "_reader", "_writer", "_thread")

    def __init__(self):
        self._pending = deque()
        self._signalled = False
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._thread = spawn(self._run)

    def post(self, function, *arguments):
        """Run `function` on the hub's thread soon; it must not wait.

        Any thread may call this.
        """
        self._pending.append((function, arguments))
        if self._signalled:
            return
        self._signalled = True
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            # The buffer is full of unread bytes, each of which wakes the hub.
            pass
        except OSError:
            # The bridge is closed.
            pass

    def close(self):
        """Stop running calls and free the sockets."""
        self._thread.kill()
        self._reader.close()
        self._writer.close()

    def _run(self):
        while True:
            hubs.trampoline(self._reader, read=True)
            self._reader.recv(WAKE_BYTES)
            # Cleared before the queue is read, so that no later post is missed.
            self._signalled = False
            while self._pending:
                function, arguments = self._pending.popleft()
                function(*arguments)
