"""Limits that change while client connections are open.

A connection that is kept must not serve its next request by the limits that were in
force when it was opened.
"""

import pytest

from mulberryhub.base.green import sleep
from mulberryhub.http.limits import RequestLimits
from tests.http.support import connect, read_all, running_server

SMALL_BYTES = 2_000
LARGE_BYTES = 20_000
BETWEEN_BYTES = 8_000
SHORT_MS = 300
LONG_MS = 900
BETWEEN_S = 0.55


def make_limits(bytes, timeout_ms):
    return RequestLimits(bytes, bytes, timeout_ms, timeout_ms)


SMALL = make_limits(SMALL_BYTES, LONG_MS)
LARGE = make_limits(LARGE_BYTES, LONG_MS)
SHORT = make_limits(LARGE_BYTES, SHORT_MS)
LONG = make_limits(LARGE_BYTES, LONG_MS)


class ChangedLimits:
    """Limits as a server reads them; `current` is set to change them."""

    def __init__(self, limits):
        self.current = limits

    def read(self):
        return self.current


def ask(sock, data):
    """Return the status of the answer to a request on a kept connection."""
    sock.sendall(data)
    return int(sock.recv(65_536).split(b" ")[1])


def plain_request(header_bytes=0, body_bytes=0, chunked=False):
    lines = [b"POST /a HTTP/1.1", b"Host: x", b"X: " + b"h" * header_bytes]
    body = b"b" * body_bytes
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


REQUESTS_AND_STATUSES = [
    (plain_request(header_bytes=BETWEEN_BYTES), 431),
    (plain_request(body_bytes=BETWEEN_BYTES), 413),
    (plain_request(body_bytes=BETWEEN_BYTES, chunked=True), 413),
]


@pytest.mark.parametrize("data, status", REQUESTS_AND_STATUSES)
def test_raised_size_holds_for_the_next_request_on_a_kept_connection(data, status):
    # Guards against a 413 or 431 for what the present configuration allows.
    limits = ChangedLimits(SMALL)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, plain_request()) == 200
        limits.current = LARGE
        assert ask(sock, data) == 200
        assert ask(sock, data) == 200


@pytest.mark.parametrize("data, status", REQUESTS_AND_STATUSES)
def test_lowered_size_holds_for_the_next_request_on_a_kept_connection(data, status):
    # Guards against requests that only an older configuration allows.
    limits = ChangedLimits(LARGE)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, data) == 200
        limits.current = SMALL
        assert ask(sock, data) == status


@pytest.mark.parametrize("data, status", REQUESTS_AND_STATUSES)
def test_size_is_that_of_the_time_at_which_the_head_ends(data, status):
    # Guards against a limit that changes within a request.
    limits = ChangedLimits(SMALL)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, plain_request()) == 200
        sock.sendall(data[:20])
        sleep(0.05)
        limits.current = LARGE
        sock.sendall(data[20:-10])
        sleep(0.05)
        limits.current = SMALL
        assert ask(sock, data[-10:]) == (431 if status == 431 else 200)


def is_answered_408(sock):
    return read_all(sock).startswith(b"HTTP/1.1 408")


HALVES = [
    pytest.param(b"POST /a HTTP/1.1\r\nHost: x\r\n", b"\r\n", id="header"),
    pytest.param(
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na", b"b", id="body"
    ),
]


@pytest.mark.parametrize("first, second", HALVES)
def test_raised_timeout_holds_for_the_next_request_on_a_kept_connection(first, second):
    # Guards against a 408 for a pause that the present configuration allows.
    limits = ChangedLimits(SHORT)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, plain_request()) == 200
        limits.current = LONG
        sock.sendall(first)
        sleep(BETWEEN_S)
        assert ask(sock, second) == 200


@pytest.mark.parametrize("first, second", HALVES)
def test_lowered_timeout_holds_for_the_next_request_on_a_kept_connection(first, second):
    # Guards against clients that hold a request open as only an older one allows.
    limits = ChangedLimits(LONG)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, plain_request()) == 200
        limits.current = SHORT
        sock.sendall(first)
        sleep(BETWEEN_S)
        assert is_answered_408(sock)


def test_raised_idle_timeout_holds_for_a_connection_that_waits():
    # Guards against the close of a connection that may be kept for longer.
    limits = ChangedLimits(SHORT)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        assert ask(sock, plain_request()) == 200
        limits.current = LONG
        sleep(BETWEEN_S)
        assert ask(sock, plain_request()) == 200


def test_idle_connection_is_closed_after_a_raised_timeout():
    # Guards against connections that are kept for good once the timeout was raised.
    limits = ChangedLimits(SHORT)
    with running_server(read_limits=limits.read) as server:
        sock = connect(server.address)
        limits.current = LONG
        sleep(BETWEEN_S)
        assert read_all(sock) == b""
