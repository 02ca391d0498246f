"""TCP sockets: connecting, listening, and detection of unreachable peers."""

from mulberryhub.base.green import hubs, listen, socket

MAX_READ_BYTES = 65_536
LISTEN_BACKLOG = 1_024  # connections
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 1  # without an answer by the end of an interval
USER_TIMEOUT_MS = 900  # unacknowledged data fails the connection after this time


def split_address(address):
    """Split "host:port" into the host and the port number."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def connect(address, timeout, user_timeout=USER_TIMEOUT_MS):
    """Return a socket connected to `address` within `timeout` ms, or raise OSError.

    `user_timeout` is TCP_USER_TIMEOUT in ms.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout / 1000)
        _connect(sock, address)
        set_socket_options(sock, user_timeout)
    except BaseException:
        sock.close()
        raise
    return sock


def _connect(sock, address):
    """Connect `sock`; raise OSError, also for an address that cannot be parsed."""
    try:
        sock.connect(split_address(address))
    except (ValueError, TypeError, OverflowError) as error:
        raise OSError(f"not an address: {error}") from error


def set_socket_options(sock, user_timeout=USER_TIMEOUT_MS):
    """Disable Nagle's algorithm and let the kernel detect an unreachable peer.

    A peer is unreachable if it leaves data unacknowledged for `user_timeout` ms, or
    fails to answer TCP keepalive probes. The time in which it reads nothing counts too;
    connections to peers that may read slowly leave this to `peer_watch`.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)


def receive(sock, timeout=None, max_bytes=MAX_READ_BYTES):
    """Return the next bytes, at most `max_bytes`, or b"" at the end of the stream.

    Raise OSError on failure, also if another green thread closes the socket, and
    TimeoutError without data for `timeout` s. The timeout
    of `sock` itself is not used, as another green thread may have set it for what it
    sends. A reset raises ConnectionResetError. eventlet's own `recv` would return it as
    the end of the stream, so that a truncated response without a length would look
    complete.
    """
    while True:
        try:
            return sock.fd.recv(max_bytes)
        except BlockingIOError:
            pass
        try:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout,
                timeout_exc=TimeoutError,
            )
        except hubs.IOClosed as error:
            # The peer has not ended the stream.
            raise ConnectionAbortedError("closed by another green thread") from error


def receive_arrived(sock, max_bytes=MAX_READ_BYTES):
    """Return the bytes that have arrived, as `receive`, or raise TimeoutError."""
    try:
        return sock.fd.recv(max_bytes)
    except BlockingIOError as error:
        raise TimeoutError("nothing has arrived") from error


def has_unread_data(sock):
    """Return whether unread bytes or the end of the stream have arrived."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return False  # The connection has failed, so nothing is left to read.
    return True


def open_listener(address):
    """Return a socket that listens at `address`."""
    return listen(split_address(address), backlog=LISTEN_BACKLOG)


def close(sock):
    """Close `sock` and wake the green threads that wait for it."""
    if sock.fileno() >= 0:
        # The only hub call that wakes the green threads waiting for a descriptor.
        hubs.notify_opened(sock.fileno())
        hubs.get_hub().schedule_call_global(0, _start_hub_cycle)
    sock.close()


def _start_hub_cycle():
    """Do nothing: as a due timer it makes the hub start the cycle that wakes them."""


def shut_down_writing(sock):
    """Tell the peer that nothing more is sent, while it may still send."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # The connection has failed or closed already.


def reset(sock):
    """Close `sock` with a TCP reset; unsent data is dropped."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    except OSError:
        pass  # The peer has closed already, so nothing is left to drop.
    close(sock)
