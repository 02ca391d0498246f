"""Passes function calls from grpcio's native threads to the eventlet hub."""

import socket
from collections import deque

from mulberryhub.base.green import hubs, spawn

MAX_WAKEUP_READ_BYTES = 4_096


class Bridge:
    """A queue of function calls that any thread can add to and the hub's thread runs.

    The hub is that of the thread that creates the bridge. It is woken by a byte on a
    socket pair; one byte is enough for all calls added before it is read.
    """

    __slots__ = ("_pending", "_wakeup_sent", "_reader", "_writer", "_green_thread")

    def __init__(self):
        self._pending = deque()
        self._wakeup_sent = False
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._green_thread = spawn(self._run)

    def post(self, function, *arguments):
        """Schedule `function(*arguments)` on the hub's thread; safe from any thread.

        `function` must not block, since it delays all calls after it.
        """
        self._pending.append((function, arguments))
        if self._wakeup_sent:
            return
        self._wakeup_sent = True
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            # The socket buffer is full of unread wake-up bytes, so the hub will wake.
            pass
        except OSError:
            # The bridge is closed.
            pass

    def close(self):
        """Stop the loop that runs calls and close the sockets."""
        self._green_thread.kill()
        self._reader.close()
        self._writer.close()

    def _run(self):
        while True:
            hubs.trampoline(self._reader, read=True)
            self._reader.recv(MAX_WAKEUP_READ_BYTES)
            # Reset before the queue is drained, so that a call added after it has been
            # found empty sends another wake-up byte.
            self._wakeup_sent = False
            while self._pending:
                function, arguments = self._pending.popleft()
                function(*arguments)
