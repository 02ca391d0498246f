"""Peers that read slowly are served whole; peers that are gone are found soon."""

import time
from contextlib import closing

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Event, Timeout, sleep, socket, spawn
from mulberryhub.http.limits import RequestLimits
from mulberryhub.http.messages import (
    ClientDisconnected,
    Headers,
    HttpError,
    ResponseBroken,
)
from mulberryhub.http.outbound import OutboundConnection
from tests.http.support import ScriptedUpstream, running_server
from tests.http.test_outbound import make_request
from tests.http.unreachable import become_unreachable

RECEIVE_BUFFER_BYTES = 4_096
UPSTREAM_RECEIVE_BUFFER_BYTES = 65_536
ANSWER_BYTES = 43_000
LONG_BYTES = 3_500_000  # more than the buffers of a socket hold
IDLE_TIMEOUT_MS = 8_000
TIMEOUT_MS = 8_000
FOUND_MS = 1_600  # by when a peer that is gone is found
LIMITS = RequestLimits(2_000, 10_000, 300, IDLE_TIMEOUT_MS)
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def connect_slowly(address):
    """Return a socket with a small window that is connected to `address`."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((host, int(port)))
    return sock


def answer_in_pieces(byte_count, ended, piece_bytes=4_000, interval_s=0):
    """Return a handler that writes a long answer and sends how it ended to `ended`."""

    def handle(request, connection):
        try:
            connection.start_response(200, Headers(), byte_count)
            for start in range(0, byte_count, piece_bytes):
                connection.write(b"x" * min(piece_bytes, byte_count - start))
                sleep(interval_s)
            reusable = connection.finish_response()
        except (HttpError, ClientDisconnected) as error:
            ended.send(error)
            raise
        ended.send(None)
        return reusable

    return handle


def wait_for(ended):
    """Return how the answer ended, within a few seconds."""
    with Timeout(6):
        return ended.wait()


def receive_bytes(sock, count):
    data = b""
    with Timeout(10):
        while len(data) < count and (piece := sock.recv(65_536)):
            data += piece
    return data


@pytest.mark.parametrize("pause_s", [2.0, 3.5])
@pytest.mark.parametrize("byte_count", [ANSWER_BYTES, LONG_BYTES])
def test_answer_to_a_client_that_pauses_reading_is_whole(byte_count, pause_s):
    # Guards against answers that are cut because the client's window is closed.
    ended = Event()
    with running_server(answer_in_pieces(byte_count, ended), LIMITS) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            sleep(pause_s)
            data = receive_bytes(sock, byte_count + 1_000)[-byte_count:]
        assert data == b"x" * byte_count
        assert wait_for(ended) is None


def test_answer_is_whole_although_the_server_stood_still_while_nothing_was_read():
    # Guards against a check that must run in time for a slow client to be served.
    ended = Event()
    with running_server(answer_in_pieces(LONG_BYTES, ended), LIMITS) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            sleep(0.1)
            time.sleep(2.0)  # the whole process, with its green threads
            data = receive_bytes(sock, LONG_BYTES + 1_000)[-LONG_BYTES:]
        assert data == b"x" * LONG_BYTES


def test_client_that_never_reads_is_cut_at_the_idle_timeout():
    # Guards against answers that are held for a client without any end.
    limits = RequestLimits(2_000, 10_000, 300, 1_500)
    ended = Event()
    with running_server(answer_in_pieces(LONG_BYTES, ended), limits) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            started = time.monotonic()
            assert isinstance(wait_for(ended), HttpError)
            assert time.monotonic() - started <= 3


def test_client_that_reads_too_slowly_is_cut_at_the_deadline_of_its_request():
    # Guards against an answer that is written on after its deadline, bit by bit.
    ended = Event()
    handle = answer_in_pieces(LONG_BYTES, ended, LONG_BYTES)
    clock = Clock()

    def handle_until_deadline(request, connection):
        connection.limit_writing(clock.now() + 1_000)
        return handle(request, connection)

    with running_server(handle_until_deadline, LIMITS) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            started = clock.now()
            while not ended.ready() and clock.now() - started < 4_000:
                sock.recv(1_000)
                sleep(0.05)
            assert isinstance(wait_for(ended), HttpError)
            assert 900 <= clock.now() - started <= 1_500


def read_after_pause(pause_s):
    def script(sock, upstream):
        head, _, body = upstream.read_head(sock).partition(b"\r\n\r\n")
        sleep(pause_s)
        receive_bytes(sock, LONG_BYTES - len(body))
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    return script


def test_request_to_an_upstream_that_pauses_reading_is_sent_whole():
    # Guards against a 502 for a request whose upstream reads it slowly.
    upstream = ScriptedUpstream(read_after_pause(2.5))
    upstream.listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, UPSTREAM_RECEIVE_BUFFER_BYTES
    )
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    connection.send(make_request(b"x" * LONG_BYTES), TIMEOUT_MS)
    assert connection.read_head(TIMEOUT_MS).status == 200
    assert connection.read_data(TIMEOUT_MS) == b"ok"


@pytest.mark.parametrize("read_s", [0.0, 0.2])
def test_client_that_is_gone_is_found(read_s):
    # Guards against answers that are kept for a client which has lost its power.
    ended = Event()
    handle = answer_in_pieces(LONG_BYTES, ended, interval_s=0.01)
    with running_server(handle, LIMITS) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            sleep(0.05)
            reader = spawn(receive_bytes, sock, LONG_BYTES)
            sleep(read_s)
            become_unreachable(sock)
            started = time.monotonic()
            assert isinstance(wait_for(ended), ClientDisconnected)
            reader.kill()
            assert (time.monotonic() - started) * 1000 <= FOUND_MS


def test_client_that_is_gone_while_it_read_nothing_is_found():
    # Guards against unanswered probes of a closed window that nobody looks at.
    ended = Event()
    with running_server(answer_in_pieces(LONG_BYTES, ended), LIMITS) as server:
        with closing(connect_slowly(server.address)) as sock:
            sock.sendall(REQUEST)
            sleep(0.5)
            become_unreachable(sock)
            assert wait_for(ended) is not None


@pytest.mark.parametrize("byte_count", [10, 1_000_000])
def test_upstream_that_is_gone_before_it_acknowledges_a_request_is_found(byte_count):
    # Guards against requests that wait for an upstream which has lost its power.
    def script(sock, upstream):
        become_unreachable(sock)
        sleep(5)

    upstream = ScriptedUpstream(script)
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    sleep(0.05)
    started = time.monotonic()
    connection.send(make_request(b"x" * byte_count), TIMEOUT_MS)
    with pytest.raises(ResponseBroken):
        connection.read_head(TIMEOUT_MS)
    assert (time.monotonic() - started) * 1000 <= FOUND_MS


def test_upstream_that_is_gone_while_it_works_is_found():
    # Guards against a slower look for upstreams that fall silent before they answer.
    def script(sock, upstream):
        upstream.read_head(sock)
        become_unreachable(sock)
        sleep(5)

    upstream = ScriptedUpstream(script)
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    started = time.monotonic()
    connection.send(make_request(), TIMEOUT_MS)
    with pytest.raises(ResponseBroken):
        connection.read_head(TIMEOUT_MS)
    assert (time.monotonic() - started) * 1000 <= 2_600
