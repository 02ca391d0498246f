"""Reads a socket by a listener that stays registered for the socket's life.

A wait then costs neither a registration nor a receive that finds nothing.
"""

from mulberryhub.base.green import getcurrent, hubs

READ_SIZE = 65_536  # bytes


class SocketReader:
    """Reads what has arrived on a green socket; one green thread at a time.

    `timeout` is the longest wait in ms. While nobody waits and data arrives, the
    listener is taken away until the next read.
    """

    __slots__ = (
        "_socket",
        "_descriptor",
        "_timeout",
        "_hub",
        "_listener",
        "_timer",
        "_waiter",
        "_since",
    )

    def __init__(self, socket, timeout):
        socket.settimeout(0)
        self._socket = socket
        self._descriptor = socket.fileno()
        self._timeout = timeout / 1000
        self._hub = hubs.get_hub()
        self._listener = None
        self._waiter = None
        self._since = 0.0
        self._timer = self._hub.schedule_call_global(self._timeout, self._check)

    def read(self):
        """Wait for data and return it, or nothing at its end.

        Raise TimeoutError after the timeout and OSError on a broken connection.
        """
        while True:
            self._wait()
            try:
                return self._socket.recv(READ_SIZE)
            except BlockingIOError:
                continue

    def close(self):
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._remove_listener()
        self._socket.close()

    def _wait(self):
        if self._listener is None:
            self._listener = self._hub.add(
                self._hub.READ,
                self._descriptor,
                self._readable,
                self._fail,
                self._forget,
            )
        self._since = self._hub.clock()
        self._waiter = getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def _readable(self, descriptor):
        if self._waiter is None:
            self._remove_listener()
        else:
            self._waiter.switch()

    def _check(self):
        """End a wait that has lasted for the timeout."""
        left = self._timeout
        if self._waiter is not None:
            left -= self._hub.clock() - self._since
        if left > 0:
            self._timer = self._hub.schedule_call_global(left, self._check)
            return
        self._timer = None
        self._waiter.throw(TimeoutError("nothing arrived"))

    def _fail(self, *error):
        if self._waiter is not None:
            self._waiter.throw(*error)

    def _forget(self):
        self._listener = None

    def _remove_listener(self):
        listener, self._listener = self._listener, None
        if listener is not None:
            self._hub.remove(listener)
