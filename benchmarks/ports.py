"""Free loopback ports for processes that are started with a port to listen at."""

import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 32_000  # Above it the system takes ports of outgoing connections.
LOOPBACK = "127.0.0.1"

_ports = list(range(FIRST_PORT, LAST_PORT))
_unused = []


def use_slice(index, count):
    """Keep to one of `count` equal slices of the range, for runners side by side."""
    global _ports
    _ports = list(range(FIRST_PORT + index, LAST_PORT, count))
    _unused.clear()


def free_port():
    """Return a port that nothing listens at; each is given out once a round."""
    while True:
        if not _unused:
            _unused.extend(_ports)
            random.shuffle(_unused)
        port = _unused.pop()
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


def free_address():
    """Return a free loopback address as host:port."""
    return f"{LOOPBACK}:{free_port()}"
