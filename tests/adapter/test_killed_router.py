"""What clients can tell of answers that a killed router cuts.

The routers are processes of their own; the workers are stand-ins.
"""

import socket
import time

import pytest

from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    make_config,
    route,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

KIND_BY_PATH = {"/resumable/": "streaming", "/read/": "idempotent"}
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.05
READ_TIMEOUT_S = 5
LONG_PIECE = b"x" * 200_000
LONG_PIECE_COUNT = 12  # together longer than what is buffered before it is sent


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def read_until(sock, text):
    """Return what was read; it has `text` unless the connection ended before."""
    data = b""
    while text not in data and (piece := sock.recv(65_536)):
        data += piece
    return data


def read_to_end(sock):
    """Return what is left to read, and whether the connection was closed in order."""
    data = b""
    try:
        while piece := sock.recv(65_536):
            data += piece
    except ConnectionResetError:
        return data, False
    return data, True


def looks_complete(answer, is_closed_in_order):
    """Return whether a client has to take the bytes of an answer for a whole one."""
    head, _, body = answer.partition(b"\r\n\r\n")
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    if not head:
        return False
    if fields.get(b"transfer-encoding") == b"chunked":
        return body.endswith(b"0\r\n\r\n")
    if b"content-length" in fields:
        return len(body) == int(fields[b"content-length"])
    return is_closed_in_order


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=1)
    routes = [
        route(kind, path, kind, kind, canResume=kind == "streaming")
        for path, kind in KIND_BY_PATH.items()
    ]
    services = [{"name": kind} for kind in KIND_BY_PATH.values()]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


def start_worker(platform, service, respond):
    worker = RawWorker(platform, "w-raw", service, respond)
    lines = platform.routers[0].lines
    wait_until(
        lambda: (
            any(line["message"] == "upstream known" for line in lines())
            and any(line.get("upstream") == worker.id for line in lines())
        )
    )
    return worker


def send_request(router, path, version):
    host, port = router.front.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
    fields = {
        **call_headers("id-1", KEY),
        "Content-Length": "0",
        "Connection": "close",
    }
    lines = [f"POST {path} HTTP/{version}", *map(": ".join, fields.items())]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    return sock


# A killed router's close must not look like the end of an answer without a length.
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("upstream_version", [b"1.1", b"1.0"])
def test_killed_router_leaves_no_stream_that_looks_complete(
    platform, version, upstream_version
):
    def respond(conn, id, worker):
        head = worker.head(id).replace(b"HTTP/1.1", b"HTTP/" + upstream_version)
        conn.sendall(head + b"Content-Type: text/event-stream\r\n\r\n")
        for number in range(EVENT_COUNT):
            conn.sendall(event(number))
            time.sleep(EVENT_INTERVAL_S)
        return False

    worker = start_worker(platform, "streaming", respond)
    router = platform.routers[0]
    with send_request(router, "/resumable/x", version) as sock:
        wait_until(lambda: worker.runs)
        time.sleep(EVENT_COUNT * EVENT_INTERVAL_S / 2)
        router.popen.kill()
        answer, is_closed_in_order = read_to_end(sock)
    assert event(EVENT_COUNT - 1) not in answer
    assert not looks_complete(answer, is_closed_in_order)
    worker.close()


# The same for plain answers that are too long to be buffered before they are sent.
def test_killed_router_leaves_no_long_answer_that_looks_complete(platform):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + b"\r\n")
        for _ in range(LONG_PIECE_COUNT):
            conn.sendall(LONG_PIECE)
            time.sleep(EVENT_INTERVAL_S)
        time.sleep(READ_TIMEOUT_S)
        return False

    worker = start_worker(platform, "idempotent", respond)
    router = platform.routers[0]
    with send_request(router, "/read/x", "1.1") as sock:
        begun = read_until(sock, LONG_PIECE[:100])
        router.popen.kill()
        rest, is_closed_in_order = read_to_end(sock)
    assert begun
    assert not looks_complete(begun + rest, is_closed_in_order)
    worker.close()


# The end of an upstream's connection is the end of its answer, and is passed on so.
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_stream_that_ends_with_its_connection_is_complete(platform, version):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + b"Content-Type: text/event-stream\r\n\r\n")
        conn.sendall(event(1) + event(2))
        return False

    worker = start_worker(platform, "streaming", respond)
    with send_request(platform.routers[0], "/resumable/x", version) as sock:
        answer, _ = read_to_end(sock)
    assert event(1) + event(2) in answer
    assert looks_complete(answer, is_closed_in_order=False)
    worker.close()
