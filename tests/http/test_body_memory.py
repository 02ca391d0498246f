"""Memory that the bodies of all requests hold together."""

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Event, sleep, spawn
from mulberryhub.http.body_memory import LONG_SHARE, SHORT_BODY_BYTES, BodyMemory
from mulberryhub.http.limits import RequestLimits
from mulberryhub.http.server import HttpServer
from tests.http.support import connect, echo, free_address, read_all

CAPACITY_BYTES = 1_000_000
LONG_BYTES = 400_000
LIMITS = RequestLimits(2_000, 4_000_000, 3_000, 3_000)


def test_what_is_reserved_never_exceeds_the_capacity():
    # Guards against a process that ends for its memory, with all that it runs.
    memory = BodyMemory(CAPACITY_BYTES)
    reservations = [memory.new_reservation() for _ in range(100)]
    fitting = [item for item in reservations if item.try_grow(LONG_BYTES)]
    assert len(fitting) == 1
    assert memory.used <= LONG_SHARE * CAPACITY_BYTES
    short = [item for item in reservations if item.try_grow(SHORT_BODY_BYTES)]
    assert len(short) > 5
    assert memory.used <= CAPACITY_BYTES
    for item in reservations:
        item.release()
    assert memory.used == 0


def test_body_that_grows_is_counted_once():
    # Guards against a reservation that is never given back in full.
    memory = BodyMemory(CAPACITY_BYTES)
    reservation = memory.new_reservation()
    assert all(reservation.try_grow(size) for size in (10, 70_000, 50, 300_000))
    assert memory.used == 300_000
    assert not reservation.try_grow(900_000)
    assert memory.used == 300_000
    reservation.release()
    reservation.release()
    assert memory.used == 0


class Fixture:
    """A server with a small memory, whose handler waits until `ended` is sent."""

    def __init__(self):
        self.memory = BodyMemory(CAPACITY_BYTES)
        self.handled = []
        self.ended = Event()
        self.server = HttpServer(
            free_address(), self.handle, lambda: LIMITS, Clock(), self.memory
        )
        self.server.start()

    def handle(self, request, connection):
        self.handled.append(len(request.body))
        if len(request.body) > SHORT_BODY_BYTES:
            self.ended.wait()
        request.body = b"x"
        return echo(request, connection)


@pytest.fixture
def fixture():
    fixture = Fixture()
    yield fixture
    fixture.server.stop_listening()


def with_length(body):
    return b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def chunked(body):
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    size = 50_000
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return head + b"".join(chunks) + b"0\r\n\r\n"


@pytest.mark.parametrize("encode", [with_length, chunked])
def test_long_request_is_refused_while_others_use_the_memory(fixture, encode):
    # Guards against a process that ends for its memory, with all that it runs.
    first = connect(fixture.server.address)
    first.sendall(with_length(b"a" * LONG_BYTES))
    sleep(0.1)
    second = connect(fixture.server.address)
    # All of it arrives: the response must not be lost by a reset.
    spawn(second.sendall, encode(b"b" * 3_000_000))
    answer = read_all(second)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert fixture.handled == [LONG_BYTES]
    short = connect(fixture.server.address)
    short.sendall(with_length(b"c" * 1_000))
    assert short.recv(65_536).startswith(b"HTTP/1.1 200")
    fixture.ended.send()
    assert first.recv(65_536).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("encode", [with_length, chunked])
def test_memory_is_free_again_after_the_response(fixture, encode):
    # Guards against refusals that go on once the long requests have been answered.
    fixture.ended.send()
    sock = connect(fixture.server.address)
    for _ in range(5):
        sock.sendall(encode(b"a" * LONG_BYTES))
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
    sleep(0.05)
    assert fixture.memory.used == 0


def test_memory_is_free_again_after_a_client_disconnects(fixture):
    # Guards against reservations of requests that nobody waits for.
    sock = connect(fixture.server.address)
    sock.sendall(with_length(b"a" * LONG_BYTES)[:200_000])
    sleep(0.1)
    assert fixture.memory.used == LONG_BYTES
    sock.close()
    sleep(0.1)
    assert fixture.memory.used == 0


def test_response_to_a_rejected_body_is_read_by_a_client_that_still_sends(fixture):
    # Guards against a reset in place of the status, which tells clients nothing.
    sock = connect(fixture.server.address)
    spawn(sock.sendall, with_length(b"a" * (LIMITS.max_body_bytes + 1)))
    assert read_all(sock).startswith(b"HTTP/1.1 413")
