"""Socket reader whose hub listener stays registered between reads.

Waiting for data then needs neither a new registration with the hub nor a receive
call that finds no data.
"""

from mulberryhub.base.green import getcurrent, hubs

MAX_READ_BYTES = 65_536


class SocketReader:
    """Reads from a green socket; used by one green thread at a time.

    `timeout` is the longest wait in ms. If data arrives while no thread waits, the
    listener is removed until the next read, so that the hub does not report the same
    data again and again.
    """

    __slots__ = (
        "_socket",
        "_descriptor",
        "_timeout_s",
        "_hub",
        "_listener",
        "_timer",
        "_waiting_thread",
        "_wait_started",
    )

    def __init__(self, socket, timeout):
        socket.settimeout(0)
        self._socket = socket
        self._descriptor = socket.fileno()
        self._timeout_s = timeout / 1000
        self._hub = hubs.get_hub()
        self._listener = None
        self._waiting_thread = None
        self._wait_started = 0.0
        self._timer = self._hub.schedule_call_global(
            self._timeout_s, self._check_timeout
        )

    def read(self):
        """Wait for data and return it, or b"" at the end of the stream.

        Raises TimeoutError after the timeout and OSError on a broken connection.
        """
        while True:
            self._wait()
            try:
                return self._socket.recv(MAX_READ_BYTES)
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
                self._on_readable,
                self._on_error,
                self._on_listener_closed,
            )
        self._wait_started = self._hub.clock()
        self._waiting_thread = getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiting_thread = None

    def _on_readable(self, descriptor):
        if self._waiting_thread is None:
            self._remove_listener()
        else:
            self._waiting_thread.switch()

    def _check_timeout(self):
        """End a wait that has reached the timeout, or check again when it is due."""
        remaining = self._timeout_s
        if self._waiting_thread is not None:
            remaining -= self._hub.clock() - self._wait_started
        if remaining > 0:
            self._timer = self._hub.schedule_call_global(remaining, self._check_timeout)
            return
        self._timer = None
        self._waiting_thread.throw(TimeoutError("no data within the timeout"))

    def _on_error(self, *error):
        if self._waiting_thread is not None:
            self._waiting_thread.throw(*error)

    def _on_listener_closed(self):
        self._listener = None

    def _remove_listener(self):
        listener, self._listener = self._listener, None
        if listener is not None:
            self._hub.remove(listener)
