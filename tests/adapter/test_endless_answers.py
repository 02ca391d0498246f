"""Workers that send bytes without an end, against the real programs."""

import socket
import threading
import time
from pathlib import Path

import pytest

from mulberryhub.adapter_standins.documents import call_headers, make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker
from tests.adapter.test_field_faults import broken_or_not, has_line

TIMEOUT = 2.0  # s, the route's
GRACE = 0.5  # s beyond it
MEMORY = 8_000  # KB that the router may grow by for one answer
SENT = 4_000_000_000  # bytes at most, in pieces
PIECE = 60_000  # bytes
KINDS = {
    "idempotent": {"maxAttempts": 1},
    "streaming": {"maxAttempts": 1, "canResume": True},
}

# What a worker sends, first once and then again and again; `{head}` is a sealed head.
SHAPES = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header line": (b"HTTP/1.1 200 OK\r\nX-A: ", b"x"),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "no http": (b"", b"\x00\x01\x02\r\n"),
    "chunk length": (b"{head}Transfer-Encoding: chunked\r\n\r\n", b"1"),
    "chunk extension": (b"{head}Transfer-Encoding: chunked\r\n\r\n1;", b"x"),
    "body without length": (b"{head}\r\n", b"x"),
    "chunks": (b"{head}Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "stray answer": (
        b"HTTP/1.1 200 OK\r\nX-Mulberryhub-Attempt-Id: other\r\n\r\n",
        b"x",
    ),
}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=1)
    routes = [
        route(kind, f"/{kind}/", kind, kind, timeoutMs=TIMEOUT * 1_000, **more)
        for kind, more in KINDS.items()
    ]
    routes.append(route("sound", "/sound/", "idempotent", "sound"))
    services = [{"name": name} for name in (*KINDS, "sound")]
    services += make_config()["services"]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


def memory(router):
    """Return the KB of memory that a router has now."""
    status = Path(f"/proc/{router.popen.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def processor_time(router):
    """Return the s of processor time that a router has used."""
    fields = Path(f"/proc/{router.popen.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100


def endless(shape, pause):
    """Return the answer of a worker that sends a shape until the caller closes."""
    first, again = SHAPES[shape]

    def answer(conn, id, worker):
        conn.sendall(first.replace(b"{head}", worker.head(id)))
        piece = again * (PIECE // len(again)) if not pause else again
        for _ in range(SENT // PIECE):
            conn.sendall(piece)
            time.sleep(pause)
        worker.was_read_to_the_end = True
        return False

    return answer


def sound(conn, id, worker):
    conn.sendall(worker.head(id) + b"Content-Length: 2\r\n\r\nok")
    return True


class Asker(threading.Thread):
    """Sends sound requests for as long as another request lasts."""

    def __init__(self, router):
        super().__init__()
        self._router = router
        self.longest = 0.0
        self.statuses = set()
        self.goes_on = True

    def run(self):
        while self.goes_on:
            began = time.monotonic()
            self.statuses.add(self._router.ask("/sound/x", id="sound").status)
            self.longest = max(self.longest, time.monotonic() - began)
            time.sleep(0.02)


@pytest.mark.parametrize("pause", [0, 0.05])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shape", SHAPES)
def test_bytes_without_an_end_are_given_up(platform, shape, kind, pause):
    router = platform.routers[0]
    id = f"{shape}-{kind}-{pause}"
    well = RawWorker(platform, f"well-{id}", "sound", sound)
    worker = RawWorker(platform, id, kind, endless(shape, pause))
    worker.was_read_to_the_end = False
    wait_until(lambda: has_line(router, "upstream known", id))
    wait_until(lambda: has_line(router, "upstream known", well.id))
    asker = Asker(router)
    before = memory(router)
    asker.start()
    began = time.monotonic()
    try:
        with broken_or_not():
            assert router.ask(f"/{kind}/x", id="endless").status in (200, 502, 504)
        assert time.monotonic() - began < TIMEOUT + GRACE
        assert memory(router) - before < MEMORY
    finally:
        asker.goes_on = False
        asker.join()
        worker.close()
        well.close()
    assert asker.statuses == {200}
    assert asker.longest < GRACE
    assert not worker.was_read_to_the_end


@pytest.mark.parametrize("kind", KINDS)
def test_a_slow_client_of_a_long_answer_takes_no_memory(platform, kind):
    router = platform.routers[0]
    id = f"long-{kind}"
    worker = RawWorker(platform, id, kind, endless("body without length", 0))
    wait_until(lambda: has_line(router, "upstream known", id))
    before = memory(router)
    host, port = router.front.split(":")
    most = 0
    with socket.create_connection((host, int(port))) as conn:
        fields = "".join(
            f"{name}: {value}\r\n" for name, value in call_headers(id, "key-1").items()
        )
        conn.sendall(f"POST /{kind}/x HTTP/1.1\r\n{fields}\r\n".encode())
        for _ in range(15):
            time.sleep(0.1)
            most = max(most, memory(router) - before)
            try:
                conn.recv(4_096)
            except ConnectionResetError:
                break  # The answer has been given up.
    worker.close()
    assert most < MEMORY


def test_a_report_without_an_end_takes_no_time_from_others(platform):
    router = platform.routers[0]
    well = RawWorker(platform, "well-report", "sound", sound)
    wait_until(lambda: has_line(router, "upstream known", well.id))
    models = [{"name": "m1", "version": 1, "adapters": []}]
    worker = RawWorker(platform, "report", "llm", endless("interim", 0), models=models)
    platform.write("version/m1", {"model": "m1", "version": 2})
    asker = Asker(router)
    before, used = memory(router), processor_time(router)
    asker.start()
    wait_until(lambda: worker.runs)  # Its report was asked for.
    time.sleep(2)
    asker.goes_on = False
    asker.join()
    worker.close()
    well.close()
    assert asker.statuses == {200}
    assert asker.longest < GRACE
    assert memory(router) - before < MEMORY
    assert processor_time(router) - used < 1.5
