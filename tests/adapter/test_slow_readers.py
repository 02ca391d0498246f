"""Memory of a router whose clients do not read the long answers that they asked for."""

import socket
import time

import pytest

from benchmarks.long_requests import MEMORY_LIMIT_MB, resident_mb
from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    make_config,
    route,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

SHORT_ENOUGH_BYTES = 1_000_000  # to be buffered as a whole
LONG_BYTES = 8_000_000  # more than the buffers of a socket hold
EVENT_BYTES = 50_000
ASK_INTERVAL_S = 0.02
RECEIVE_BUFFER_BYTES = 4_096
TIMEOUT_MS = 20_000


def respond(conn, id, worker):
    """Answer with as many bytes as the request's id says, as events or plain."""
    kind, length, _ = id.split("-")
    length = int(length)
    if kind == "stream":
        conn.sendall(worker.head(id) + b"Content-Type: text/event-stream\r\n")
        conn.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, length // EVENT_BYTES + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        conn.sendall(b"0\r\n\r\n")
        return True
    conn.sendall(worker.head(id) + b"Content-Length: %d\r\n\r\n" % length)
    conn.sendall(b"x" * length)
    return True


@pytest.fixture
def router(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=0)
    router = fleet.start_router(0, memory=MEMORY_LIMIT_MB)
    fleet.routers.append(router)
    limits = {"timeoutMs": TIMEOUT_MS, "targetLatencyMs": TIMEOUT_MS // 2}
    routes = [
        route("read", "/read/", "idempotent", "long", **limits),
        route("stream", "/stream/", "streaming", "long", **limits),
        route("short", "/short/", "idempotent", "short"),
    ]
    services = [{"name": "long"}, {"name": "short"}]
    workers = [
        RawWorker(fleet, f"w-{service['name']}", service["name"], respond, slots=512)
        for service in services
    ]
    fleet.configure(make_config(routes=routes, services=services))
    wait_until(lambda: router.ask("/read/x", "GET", id="read-2-warm").status == 200)
    wait_until(lambda: router.ask("/short/x", "GET", id="short-2-warm").status == 200)
    yield router
    fleet.close()
    for worker in workers:
        worker.end()


def ask_without_reading(router, kind, id):
    """Send a request and return the socket, of which nothing is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    host, port = router.front.split(":")
    sock.connect((host, int(port)))
    lines = [f"GET /{kind}/x HTTP/1.1"]
    fields = call_headers(id, KEY)
    lines += [f"{name}: {value}" for name, value in fields.items()]
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


@pytest.mark.parametrize("kind", ["read", "stream"])
@pytest.mark.parametrize(
    "length, readers", [(SHORT_ENOUGH_BYTES, 200), (LONG_BYTES, 48)]
)
def test_memory_is_bounded_while_clients_do_not_read_long_answers(
    router, kind, length, readers
):
    # Guards against a process that ends for its memory, with the orders that run.
    peak_mb = 0
    socks = []
    for number in range(readers):
        socks.append(ask_without_reading(router, kind, f"{kind}-{length}-{number}"))
        time.sleep(ASK_INTERVAL_S)
        peak_mb = max(peak_mb, resident_mb(router.popen.pid))
        if number % 10 == 0:
            assert router.ask("/short/x", "GET", id=f"short-2-{number}").status == 200
    for sock in socks:
        sock.close()
    assert peak_mb < MEMORY_LIMIT_MB
    assert router.popen.poll() is None
