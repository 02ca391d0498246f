"""Sockets of the router: dialling, listening, detection of dead peers."""

from mulberryhub.base.green import hubs, listen, socket

READ_BYTES = 65_536
BACKLOG = 1_024  # connections
KEEPALIVE_IDLE = 1  # s
KEEPALIVE_INTERVAL = 1  # s
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED = 900  # ms until data that the peer's host leaves unacknowledged fails


def split_address(address):
    """Return host and port of `address`, which is host:port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def dial(address, timeout, unacknowledged=UNACKNOWLEDGED):
    """Return a connection to `address`, made within `timeout` ms, or raise OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout / 1000)
        sock.connect(split_address(address))
        tune(sock, unacknowledged)
    except BaseException:
        sock.close()
        raise
    return sock


def tune(sock, unacknowledged=UNACKNOWLEDGED):
    """Send small writes at once and let the kernel find a peer that fell silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def receive(sock):
    """Return the next bytes, b"" at the end, or raise OSError.

    A reset is an error here; eventlet's own `recv` would return it as an end, and an
    answer without a length would look complete.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            pass
        try:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=sock.gettimeout(),
                timeout_exc=TimeoutError,
            )
        except hubs.IOClosed:
            return b""  # Another green thread closed the socket meanwhile.


def has_unread(sock):
    """Tell whether bytes, or the end, have arrived that nobody has read."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return False  # The connection has failed: there is nothing to read any more.
    return True


def open_listener(address):
    """Return a listening socket at `address`."""
    return listen(split_address(address), backlog=BACKLOG)


def close(sock):
    """Close `sock`; a green thread that waits for it is woken."""
    if sock.fileno() >= 0:
        # The one call by which the hub lets go of those that wait for a descriptor.
        hubs.notify_opened(sock.fileno())
        hubs.get_hub().schedule_call_global(0, _turn)
    sock.close()


def _turn():
    """Do nothing; being due, it makes the hub begin the turn that wakes them."""


def reset(sock):
    """Close `sock` at once; data that is not sent yet is dropped."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    except OSError:
        pass  # The peer has closed already: there is nothing left to drop.
    close(sock)
