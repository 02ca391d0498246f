"""Delivers process signals to a green thread."""

import signal

from mulberryhub.base.green import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalWaiter:
    """Waits for SIGTERM or SIGINT; create it before any other part starts.

    `on_reload()`, if given, is called on each SIGHUP; otherwise SIGHUP is ignored.

    The signal handlers are empty: the interpreter writes the signal number to a
    socket that the event loop polls, so no handler interrupts running code.
    """

    __slots__ = ("_reader", "_writer", "_on_reload")

    def __init__(self, on_reload=None):
        self._on_reload = on_reload
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno())
        for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(signal_number, lambda *_: None)

    def wait_for_stop(self):
        """Block the calling green thread until SIGTERM or SIGINT arrives."""
        while True:
            signal_number = self._reader.recv(1)[0]
            if signal_number in STOP_SIGNALS:
                return
            if self._on_reload is not None:
                self._on_reload()
