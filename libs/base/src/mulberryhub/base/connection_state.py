"""What the kernel knows of a TCP connection beside its data."""

import fcntl
import socket
import struct
from termios import TIOCOUTQ

from mulberryhub.base.green import sleep

CHECK_INTERVAL_MS = 5
TCP_CLOSE = 7  # state of a connection that was reset, or ended in both directions
INT = struct.Struct("i")


def unacknowledged_bytes(sock):
    """Return the number of bytes that the peer has not acknowledged, sent or not."""
    return INT.unpack(fcntl.ioctl(sock.fileno(), TIOCOUTQ, bytes(INT.size)))[0]


def is_reset(sock):
    """Return whether the connection of a socket that is not closed has failed.

    A failure is told to one call only, so other calls may see an orderly end instead.
    """
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == TCP_CLOSE or bool(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


def has_taken_all(sock, deadline, now):
    """Return whether the peer takes all that was sent, although it sends no more.

    Wait until that is known, at most until `deadline` by `now()` (both ms).
    """
    try:
        while unacknowledged_bytes(sock) and not is_reset(sock):
            if now() >= deadline:
                return False
            sleep(CHECK_INTERVAL_MS / 1000)
        return not is_reset(sock)
    except OSError:
        return False
