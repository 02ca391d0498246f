"""Upstreams that answer a long request before they have read it, without a length."""

import socket as blocking_socket
import threading
import time
from contextlib import contextmanager, suppress

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep
from mulberryhub.http.messages import ResponseBroken
from mulberryhub.http.outbound import OutboundConnection
from tests.http.test_outbound import make_request

TIMEOUT_MS = 3_000
LONG_BYTES = 3_000_000
RESET = b"\1\0\0\0\0\0\0\0"
PART = b"HTTP/1.1 200 OK\r\nX: y\r\n\r\npart of the answer"
ATTEMPTS = 8  # the outcome depends on which call gets the error


def end_with_reset(sock):
    sock.setsockopt(blocking_socket.SOL_SOCKET, blocking_socket.SO_LINGER, RESET)
    sock.close()


def end_in_order(sock):
    sock.close()


def end_after_reading(sock):
    """Say that nothing more is sent, and read the whole request after that."""
    sock.shutdown(blocking_socket.SHUT_WR)
    while sock.recv(65_536):
        time.sleep(0)
    sock.close()


@contextmanager
def early_upstream(end, pause_s):
    """Run an upstream in a thread of its own; it reads the head only."""
    listener = blocking_socket.create_server(("127.0.0.1", 0))

    def serve():
        with suppress(OSError):  # at the end of the test
            for _ in range(ATTEMPTS):
                sock, _ = listener.accept()
                sock.recv(1_000)
                sock.sendall(PART)
                time.sleep(pause_s)
                end(sock)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        listener.close()


def read_answer(address, byte_count, delay_s=0):
    """Return the body, or None if the answer is known to be incomplete."""
    connection = OutboundConnection.open(address, TIMEOUT_MS, Clock())
    body = b""
    try:
        connection.send(make_request(b"x" * byte_count), TIMEOUT_MS)
        sleep(delay_s)
        connection.read_head(TIMEOUT_MS)
        while (data := connection.read_data(TIMEOUT_MS)) is not None:
            body += data
    except ResponseBroken:
        return None
    finally:
        connection.close()
    return body


@pytest.mark.parametrize("pause_s", [0, 0.02, 0.3])
@pytest.mark.parametrize("byte_count", [20_000, 40_000, LONG_BYTES])
@pytest.mark.parametrize("end", [end_with_reset, end_in_order])
def test_early_answer_that_ends_before_the_request_is_read_is_incomplete(
    end, byte_count, pause_s
):
    # Guards against a part of an answer that is passed on as a whole one.
    with early_upstream(end, pause_s) as address:
        for attempt in range(ATTEMPTS):
            assert read_answer(address, byte_count, 0.05 * (attempt % 2)) is None


def test_early_answer_of_an_upstream_that_reads_on_is_complete():
    # Guards against a 502 for a whole answer that comes before a long request is read.
    with early_upstream(end_after_reading, 0) as address:
        assert read_answer(address, LONG_BYTES) == b"part of the answer"


def test_early_answer_whose_request_is_never_read_ends_in_time():
    # Guards against a wait without an end for an upstream that reads nothing more.
    def end(sock):
        sock.shutdown(blocking_socket.SHUT_WR)
        time.sleep(5)

    with early_upstream(end, 0) as address:
        started = time.monotonic()
        assert read_answer(address, 6 * LONG_BYTES) is None
        assert time.monotonic() - started <= 4
