"""Detection of clients that disconnect while their request is being served."""

import socket

from mulberryhub.base.green import getcurrent, hubs


class ClientDisconnected(Exception):
    """Raised when the client has closed its connection."""


class DisconnectWatcher:
    """Raises ClientDisconnected in the green thread that created the watcher.

    The client's socket is watched by a listener of eventlet's hub, which needs no
    green thread of its own.
    """

    __slots__ = ("_socket", "_listener", "_thread", "_counters")

    def __init__(self, request, counters):
        self._counters = counters
        self._thread = getcurrent()
        self._listener = None
        wsgi_input = request.environ.get("eventlet.input")
        self._socket = wsgi_input.get_socket() if wsgi_input is not None else None
        if self._socket is not None:
            self._listener = hubs.get_hub().add(
                hubs.get_hub().READ,
                self._socket.fileno(),
                self._on_readable,
                self._ignore,
                self._ignore,
            )

    def _on_readable(self, descriptor):
        """Raise ClientDisconnected in the watched thread if the socket is closed."""
        self.stop()
        if not self._is_closed():
            return
        self._counters.add("caller.gone")
        hubs.get_hub().schedule_call_global(0, self._thread.throw, ClientDisconnected())

    def _is_closed(self):
        """Return whether the client has closed the connection.

        An empty result of recv means that it has. The data is only peeked at, since it
        may belong to the client's next request.
        """
        try:
            return not self._socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _ignore(self, *_):
        pass

    def stop(self):
        """Stop watching, so that the next request on the connection can be read."""
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None
