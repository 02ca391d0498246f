"""A link between one router and the store, which a test can cut."""

import socket
import threading

BUFFER_BYTES = 65_536


class StoreLink:
    """Passes connections to `address` on to `server`, both host:port.

    While it is cut, it holds all bytes and new connections back, as a network does that
    loses all packets until it heals.
    """

    def __init__(self, server):
        host, port = server.rsplit(":", 1)
        self._server = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._is_open = threading.Event()
        self._is_open.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Pass nothing on until `heal()`."""
        self._is_open.clear()

    def heal(self):
        """Pass on what was held back, and all that follows."""
        self._is_open.set()

    def close(self):
        """Accept no more connections; those that are open end with their peers."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._is_open.set()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        self._is_open.wait()
        server = socket.create_connection(self._server)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(
                target=self._forward, args=(source, sink), daemon=True
            ).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(BUFFER_BYTES):
                self._is_open.wait()
                sink.sendall(data)
        except OSError:
            pass  # Either side has closed the connection.
        self._is_open.wait()
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed before.
