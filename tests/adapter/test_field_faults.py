"""Faults that operators of similar systems met, against the real programs."""

import re
import signal
import socket
import struct
import threading
import time
from contextlib import contextmanager

import pytest
import urllib3

from mulberryhub.adapter_standins.documents import MODEL, make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

WHOLE = list(range(1, 7))  # ids of the events of a stand-in's stream
LEASE_TIME = 3.0  # s that must lie between the orders of two routers
SLOW_PAUSE = 0.5  # s
DEADLINE = 5.0  # s for which the client of a prompt waits
SENT_LATE = 0.15  # s


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"))
    routes = [
        *make_config()["routes"],
        route("raw", "/raw/", "idempotent", "raw", maxAttempts=1),
        route("events", "/events/", "streaming", "events", timeoutMs=DEADLINE * 1_000),
    ]
    services = [*make_config()["services"], {"name": "raw"}, {"name": "events"}]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        wait_until(lambda: fleet.routers[0].ask_model(id="warm").status == 200)
        yield fleet
    finally:
        fleet.close()


def is_http_error(error):
    """Tell it by its name: eventlet's import of urllib3 leaves two such classes."""
    return any(kind.__name__ == "HTTPError" for kind in type(error).__mro__)


@contextmanager
def broken_or_not():
    """Let a request fail by a broken connection, and by nothing else."""
    try:
        yield
    except Exception as error:
        if not is_http_error(error):
            raise


def event_ids(answer):
    return [int(id) for id in re.findall(rb"id: (\d+)\n", answer.data)]


def ask_until_known(router, path, worker):
    """Ask until a request has arrived at `worker`."""

    def has_arrived():
        with broken_or_not():
            router.ask(path, "GET", id="known")
        return bool(worker.runs)

    wait_until(has_arrived)


def test_a_late_second_copy_of_an_answer_reaches_nobody(platform):
    def answer(conn, id, worker):
        body = f"answer to {id}".encode()
        head = worker.head(id) + b"Content-Length: %d\r\n\r\n" % len(body)
        conn.sendall(head + body)
        time.sleep(SENT_LATE)
        conn.sendall(head + body)
        return True

    worker = RawWorker(platform, "raw1", "raw", answer)
    router = platform.routers[0]
    ask_until_known(router, "/raw/x", worker)
    for number in range(12):
        answered = router.ask("/raw/x", "GET", id=f"copy{number}")
        assert answered.status == 200
        assert answered.data == f"answer to copy{number}".encode()
        time.sleep(SENT_LATE * (number % 3))
    worker.close()


def reset(conn):
    """Close a connection with a reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


@pytest.mark.parametrize(
    "framing, sent, is_reset",
    [
        (b"Content-Length: 100\r\n", b"half", False),
        (b"Content-Length: 100\r\n", b"half", True),
        (b"Transfer-Encoding: chunked\r\n", b"4\r\nhalf\r\n", False),
        (b"Transfer-Encoding: chunked\r\n", b"4\r\nhalf\r\n", True),
        (b"Transfer-Encoding: chunked\r\n", b"8\r\nhalf", False),
        (b"Connection: close\r\n", b"half", True),
    ],
)
@pytest.mark.parametrize("path, service", [("/raw/x", "raw"), ("/events/x", "events")])
def test_a_broken_off_answer_does_not_look_whole(
    platform, path, service, framing, sent, is_reset
):
    def answer(conn, id, worker):
        conn.sendall(worker.head(id) + framing + b"\r\n" + sent)
        time.sleep(SENT_LATE)
        if is_reset:
            reset(conn)
        return False

    worker = RawWorker(platform, f"b{time.monotonic_ns()}", service, answer)
    router = platform.routers[0]
    path += worker.id  # A request whose workers all end would be quarantined.
    ask_until_known(router, path, worker)
    try:
        with broken_or_not():  # The client may see that the answer broke off.
            assert router.ask(path, "GET", id="broken").status in (502, 504)
    finally:
        worker.close()


def test_a_slow_sound_stream_goes_on_and_a_stalled_one_ends(platform):
    events = int((DEADLINE - 1) / SLOW_PAUSE)

    def sound(conn, id, worker):
        conn.sendall(worker.head(id) + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, events + 1):
            time.sleep(SLOW_PAUSE)
            event = b"id: %d\ndata: x\n\n" % number
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        conn.sendall(b"0\r\n\r\n")
        return True

    def stalled(conn, id, worker):
        conn.sendall(worker.head(id) + b"Transfer-Encoding: chunked\r\n\r\n")
        while True:
            time.sleep(SLOW_PAUSE)
            conn.sendall(b"1\r\n:\r\n")

    assert event_ids(stream_of(platform, "sound", sound)) == list(range(1, events + 1))
    answers = []
    with broken_or_not():
        answers.append(stream_of(platform, "stalled", stalled))
    assert answers == []


def stream_of(platform, id, answer):
    """Return the answer of a worker under `id`; it must end by the deadline."""
    router = platform.routers[0]
    worker = RawWorker(platform, id, "events", answer)
    wait_until(lambda: has_line(router, "upstream known", id))
    began = time.monotonic()
    try:
        deadline = str(int(DEADLINE * 1000))
        return router.ask("/events/x", id=id, X_Mulberryhub_Deadline_Ms=deadline)
    finally:
        assert time.monotonic() - began < DEADLINE + 0.5
        worker.close()
        wait_until(lambda: has_line(router, "upstream gone", id))


def has_line(router, message, id):
    """Tell whether a router has written a line on the upstream `id`."""
    return any(
        line.get("message") == message and line.get("upstream") == id
        for line in router.lines()
    )


class Caller(threading.Thread):
    """Sends orders on one kept connection until the router is gone."""

    def __init__(self, router, number):
        super().__init__()
        self._router = router
        self._number = number
        self.answered = []
        self.unanswered = []

    def run(self):
        host, port = self._router.front.split(":")
        pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
        for count in range(10_000):
            id = f"stop{self._number}-{count}"
            headers = {
                "Host": "h.example",
                "X-Mulberryhub-Attempt-Id": id,
                "Authorization": "Bearer key-1",
                "X-Mulberryhub-Deadline-Ms": "4000",
            }
            try:
                answer = pool.request("POST", "/o/x", body=b"o", headers=headers)
            except Exception as error:
                assert is_http_error(error)
                self.unanswered.append(id)
                return
            self.answered.append((id, answer.status))


def test_a_planned_stop_under_load_answers_all_that_it_accepted(platform):
    router = platform.start_router(4)
    platform.routers.append(router)
    wait_until(router.is_ready)
    wait_until(lambda: router.ask("/o/x", id="before").status == 200)
    callers = [Caller(router, number) for number in range(12)]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    router.popen.send_signal(signal.SIGTERM)
    assert router.popen.wait(8) == 0
    for caller in callers:
        caller.join()
    runs = set(platform.runs())
    cut = [id for caller in callers for id in caller.unanswered if id in runs]
    assert cut == []
    served = [id for caller in callers for id, status in caller.answered]
    assert len(served) > 50


def test_the_work_of_a_router_that_was_silent_is_neither_repeated_nor_lost(platform):
    router = platform.routers[1]
    wait_until(lambda: router.ask_model(id="silent-warm").status == 200)
    answers = {}

    def ask(id, call):
        answers[id] = call()

    threads = [
        threading.Thread(
            target=ask, args=("stream", lambda: router.ask_model(id="stream"))
        ),
        threading.Thread(
            target=ask, args=("order", lambda: router.ask("/o/x", id="order"))
        ),
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.05)
    router.popen.send_signal(signal.SIGSTOP)
    time.sleep(2.0)
    router.popen.send_signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    assert event_ids(answers["stream"]) == WHOLE
    assert answers["order"].status == 200
    runs = platform.runs()
    assert (runs.count("stream"), runs.count("order")) == (1, 1)


def test_two_holders_of_the_lease_never_order_at_once(platform):
    routers = platform.routers[:2]
    version = 1
    for paused in (0, 1, 0):
        version += 1
        platform.write(f"version/{MODEL}", {"model": MODEL, "version": version})
        time.sleep(0.6)
        routers[paused].popen.send_signal(signal.SIGSTOP)
        time.sleep(3.5)
        routers[paused].popen.send_signal(signal.SIGCONT)
        wait_until_loaded(platform, version)
    for id in ("w1", "w2"):
        orders = platform.workers_by_id[id].request("GET", "/orders").json()
        assert orders
        for before, after in zip(orders, orders[1:]):
            assert after["fence"] >= before["fence"]
            if after["holder"] != before["holder"]:
                assert after["fence"] > before["fence"]
                assert after["at"] - before["at"] >= LEASE_TIME


def wait_until_loaded(platform, version):
    """Wait until both workers have a version of the weights."""

    def is_loaded(id):
        report = platform.workers_by_id[id].request("GET", "/api/report").json()
        return report["models"][0]["version"] >= version

    wait_until(lambda: is_loaded("w1") and is_loaded("w2"), timeout=20)
