"""Notices that a caller has closed its connection while its answer is awaited."""

import socket

from mulberryhub.base.green import getcurrent, hubs


class CallerGone(Exception):
    """The caller has closed its connection."""


class CallerWatch:
    """Raises CallerGone in the green thread that made it once the caller leaves.

    The socket is watched by one listener of the hub, without a thread of its own.
    """

    __slots__ = ("_socket", "_listener", "_thread", "_counters")

    def __init__(self, call, counters):
        self._counters = counters
        self._thread = getcurrent()
        self._listener = None
        source = call.environ.get("eventlet.input")
        self._socket = source.get_socket() if source is not None else None
        if self._socket is not None:
            self._listener = hubs.get_hub().add(
                hubs.get_hub().READ,
                self._socket.fileno(),
                self._readable,
                self._ignore,
                self._ignore,
            )

    def _readable(self, descriptor):
        """Look without reading: no bytes at all mean that the caller has left."""
        self.stop()
        if not self._is_closed():
            return
        self._counters.add("caller.gone")
        hubs.get_hub().schedule_call_global(0, self._thread.throw, CallerGone())

    def _is_closed(self):
        try:
            return not self._socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _ignore(self, *_):
        pass

    def stop(self):
        """Stop watching; the connection's next request can be read."""
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None
