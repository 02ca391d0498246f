"""Turns signals into wake-ups of the hub."""

import signal

from mulberryhub.base.green import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Notes the first request to stop; create it before anything is started.

    `on_reload()`, if given, is called at each SIGHUP, which else is ignored.

    The handlers do nothing: the interpreter writes the signal's number to a
    socket that the hub watches, so no code runs in the middle of other code.
    """

    __slots__ = ("_reader", "_writer", "_on_reload")

    def __init__(self, on_reload=None):
        self._on_reload = on_reload
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno())
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, lambda *_: None)

    def wait(self):
        """Block the calling green thread until a stop is asked for."""
        while True:
            number = self._reader.recv(1)[0]
            if number in STOP_SIGNALS:
                return
            if self._on_reload is not None:
                self._on_reload()
