"""Turns SIGTERM and SIGINT into a wake-up of the hub."""

import signal

from mulberryhub.base.green import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Notes the first request to stop; create it before anything is started.

    The handlers do nothing: the interpreter writes the signal's number to a
    socket that the hub watches, so no code runs in the middle of other code.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self):
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno())
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *_: None)

    def wait(self):
        """Block the calling green thread until a stop is asked for."""
        self._reader.recv(1)
