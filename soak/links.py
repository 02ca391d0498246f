"""A loopback TCP proxy between two programs that injects connection faults."""

from enum import StrEnum

from benchmarks.ports import free_address
from mulberryhub.base.green import listen, sleep, spawn_n
from mulberryhub.http.sockets import close, connect, receive, reset, split_address

CONNECT_TIMEOUT_MS = 500
STALL_POLL_S = 0.02


class LinkFault(StrEnum):
    """A connection fault; the client is the side that opened the connection.

    A stall holds the bytes of the named direction back until the fault is cleared.
    STALL holds both directions and new connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silent"
    STALL_TO_SERVER = "cut_there"
    STALL_TO_CLIENT = "cut_back"


STALLS_TO_SERVER = (LinkFault.STALL, LinkFault.STALL_TO_SERVER)
STALLS_TO_CLIENT = (LinkFault.STALL, LinkFault.STALL_TO_CLIENT)
DELAY_S = 0.15  # per chunk of forwarded bytes


class Connection:
    """The two sockets of one proxied connection."""

    __slots__ = ("client_socket", "server_socket")

    def __init__(self, client_socket, server_socket):
        self.client_socket = client_socket
        self.server_socket = server_socket

    def reset(self):
        """Reset both sockets, the client's first."""
        reset(self.client_socket)
        reset(self.server_socket)


class Link:
    """A proxy from `address` to `server_address`; `fault` may change at any time.

    Bytes that a stall holds back are delivered once the fault is cleared, as after a
    network partition that heals.
    """

    __slots__ = ("address", "server_address", "fault", "_listener", "_connections")

    def __init__(self, server_address):
        self.address = free_address()
        self.server_address = server_address
        self.fault = LinkFault.NONE
        self._connections = set()
        self._listener = listen(split_address(self.address), backlog=256)
        spawn_n(self._accept)

    def set_fault(self, fault):
        """Apply `fault`; RESET resets the open connections once and changes no more."""
        if fault is LinkFault.RESET:
            for connection in list(self._connections):
                connection.reset()
            return
        self.fault = fault

    def close(self):
        """Stop accepting connections and reset the open ones."""
        self._listener.close()
        self.set_fault(LinkFault.RESET)

    def _accept(self):
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except (OSError, EOFError):
                return  # The link is closed.
            spawn_n(self._connect, client_socket)

    def _connect(self, client_socket):
        while self.fault is LinkFault.STALL:
            sleep(STALL_POLL_S)
        try:
            server_socket = connect(self.server_address, CONNECT_TIMEOUT_MS)
        except OSError:
            reset(client_socket)  # To the client this looks like a refused connection.
            return
        server_socket.settimeout(None)
        connection = Connection(client_socket, server_socket)
        self._connections.add(connection)
        spawn_n(
            self._forward, connection, client_socket, server_socket, STALLS_TO_SERVER
        )
        spawn_n(
            self._forward, connection, server_socket, client_socket, STALLS_TO_CLIENT
        )

    def _forward(self, connection, source, destination, stalls):
        try:
            while data := receive(source):
                while self.fault in stalls:
                    sleep(STALL_POLL_S)
                if self.fault is LinkFault.DELAY:
                    sleep(DELAY_S)
                destination.sendall(data)
        except OSError:
            connection.reset()
        self._connections.discard(connection)
        close(destination)
