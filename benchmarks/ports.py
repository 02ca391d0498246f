"""Allocates free loopback ports for programs that need their port before they start."""

import random
import socket

PORT_RANGE_START = 10_000
PORT_RANGE_END = 32_000  # exclusive; Linux uses higher ports for outgoing connections
LOOPBACK = "127.0.0.1"

_port_pool = list(range(PORT_RANGE_START, PORT_RANGE_END))
_unassigned_ports = []


def use_slice(index, count):
    """Restrict this process to slice `index` of `count` equal slices of the range.

    Test runners that run in parallel take different slices and so never allocate
    the same port.
    """
    global _port_pool
    _port_pool = list(range(PORT_RANGE_START + index, PORT_RANGE_END, count))
    _unassigned_ports.clear()


def free_port():
    """Return a free port; no port is reused before all others were returned."""
    while True:
        if not _unassigned_ports:
            _unassigned_ports.extend(_port_pool)
            random.shuffle(_unassigned_ports)
        port = _unassigned_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


def free_address():
    """Return a free loopback address as `host:port`."""
    return f"{LOOPBACK}:{free_port()}"
