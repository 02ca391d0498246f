"""Requests on kept connections of a router that is stopped as planned, in calm.

The router is a process of its own; the workers are stand-ins.
"""

import http.client
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import product

import msgspec
import pytest

from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    deadline_headers,
    make_config,
    route,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

METHOD_BY_KIND = {"order": "POST", "read": "GET", "stream": "POST"}
RUN_TIMES_MS = [500, 1_500, 3_000]
LONG_RUN_TIME_MS = 5_000
MOMENTS = 16  # of each kind and run time, spread over the time to stop
EVENT_INTERVAL_S = 0.1
LAST_EVENT = b"data: end\n\n"
DEADLINE_ALLOWANCE_MS = 400  # of clients that name a deadline, on top of the run time
ROUTE_TIMEOUT_MS = 6_000
MAX_REJECTION_TIME_S = 0.1
CLIENT_TIMEOUT_S = 12


class Outcome(msgspec.Struct):
    """What the client of one request saw; `status` is None without an answer.

    `sent_at` is in s after the stop signal, and `took` in s.
    """

    id: str
    kind: str
    sent_at: float
    took: float = 0.0
    status: int | None = None
    is_complete: bool = False
    retry_after: str | None = None
    closes: bool = False


class KeptConnection:
    """A client's connection that has carried a request before the stop."""

    def __init__(self, router, kind, run_time, number):
        host, port = router.front.split(":")
        self.kind = kind
        self._router_name = router.name
        self._run_time = run_time
        self._number = number
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=CLIENT_TIMEOUT_S
        )
        self._connection.connect()
        self._connection.auto_open = 0

    def ask(self, name, stopped_at=0.0, names_deadline=False):
        """Send a request and return its Outcome."""
        id = f"{name}-{self._run_time}-{self.kind}-{self._router_name}-{self._number}"
        headers = call_headers(id, KEY)
        if names_deadline:
            timeout = self._run_time + DEADLINE_ALLOWANCE_MS
            headers.update(deadline_headers(timeout))
        began = time.monotonic()
        outcome = Outcome(id, self.kind, began - stopped_at)
        try:
            self._connection.request(
                METHOD_BY_KIND[self.kind], f"/{self.kind}/x", headers=headers
            )
            self._read_answer(outcome)
        except (OSError, http.client.HTTPException):
            pass  # The outcome tells how far the answer came.
        outcome.took = time.monotonic() - began
        return outcome

    def ask_at(self, moment, stopped_at):
        """Send a request `moment` s after the stop and return its Outcome."""
        time.sleep(max(0, stopped_at + moment - time.monotonic()))
        return self.ask("late", stopped_at, names_deadline=self._number % 2 == 1)

    def close(self):
        self._connection.close()

    def _read_answer(self, outcome):
        response = self._connection.getresponse()
        outcome.status = response.status
        outcome.retry_after = response.headers["Retry-After"]
        outcome.closes = response.headers["Connection"] == "close"
        response.read()
        outcome.is_complete = True


def respond(conn, id, worker):
    """Work for the time that the request's id names, then end the answer."""
    run_time = int(id.split("-")[1]) / 1000
    if "-stream-" in id:
        return respond_with_events(conn, id, worker, run_time)
    time.sleep(run_time)
    conn.sendall(worker.head(id) + b"Content-Length: 4\r\n\r\ndone")
    return True


def respond_with_events(conn, id, worker, run_time):
    conn.sendall(worker.head(id) + b"Content-Type: text/event-stream\r\n")
    conn.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
    count = round(run_time / EVENT_INTERVAL_S)
    for number in range(count):
        event = b"id: %d\ndata: x\n\n" % number
        conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(EVENT_INTERVAL_S)
    event = b"id: %d\n%s" % (count, LAST_EVENT)
    conn.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
    return True


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=0)
    limits = {"timeoutMs": ROUTE_TIMEOUT_MS, "targetLatencyMs": LONG_RUN_TIME_MS}
    routes = [
        route("order", "/order/", "non_idempotent", "order", **limits),
        route("read", "/read/", "idempotent", "read", **limits),
        route("stream", "/stream/", "streaming", "stream", **limits),
    ]
    routes[2]["canResume"] = True
    services = [{"name": kind} for kind in METHOD_BY_KIND]
    fleet.write("config", make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def workers(platform):
    workers = [
        RawWorker(platform, f"w-{kind}", kind, respond, slots=512)
        for kind in METHOD_BY_KIND
    ]
    yield workers
    for worker in workers:
        worker.close()


def start_router(platform, stop_time):
    """Return a router that is ready and serves all routes."""
    router = platform.start_router(len(platform.routers), stop_time=stop_time)
    platform.routers.append(router)
    wait_until(router.is_ready)
    for kind, method in METHOD_BY_KIND.items():
        wait_until(
            lambda kind=kind, method=method: (
                router.ask(f"/{kind}/x", method, id=f"warm-0-{kind}-0").status == 200
            )
        )
    return router


def stop_under_load(router, stop_time, run_times):
    """Stop `router` and ask through the time to stop; return the Outcomes."""
    connections = [
        KeptConnection(router, kind, run_time, number)
        for kind, run_time in product(METHOD_BY_KIND, run_times)
        for number in range(MOMENTS)
    ]
    moments = spread_moments(len(connections), stop_time)
    with ThreadPoolExecutor(len(connections)) as pool:
        first = list(pool.map(lambda connection: connection.ask("first"), connections))
        assert {outcome.status for outcome in first} == {200}
        stopped_at = time.monotonic()
        router.popen.terminate()
        futures = [
            pool.submit(connection.ask_at, moment, stopped_at)
            for connection, moment in zip(connections, moments)
        ]
        outcomes = [future.result() for future in futures]
    for connection in connections:
        connection.close()
    return outcomes


def spread_moments(count, stop_time):
    """Return `count` moments so that the MOMENTS of each group span the whole time."""
    groups = count // MOMENTS
    return [
        stop_time * (number % MOMENTS * groups + number // MOMENTS) / count
        for number in range(count)
    ]


@pytest.mark.parametrize(
    "stop_time, run_times",
    [(2, RUN_TIMES_MS), (4, RUN_TIMES_MS), (8, [*RUN_TIMES_MS, LONG_RUN_TIME_MS])],
    ids=["2-s", "4-s", "8-s"],
)
def test_request_sent_during_a_stop_is_not_passed_on_and_cut(
    platform, workers, stop_time, run_times
):
    router = start_router(platform, stop_time)
    outcomes = stop_under_load(router, stop_time, run_times)
    assert router.popen.wait(stop_time) == 0
    run_ids = {id for worker in workers for id in worker.runs}
    passed_on = [outcome for outcome in outcomes if outcome.id in run_ids]
    rejected = [outcome for outcome in outcomes if outcome.status == 503]
    orders = [outcome for outcome in passed_on if outcome.kind == "order"]
    assert [item for item in passed_on if not item.is_complete] == []
    assert [item for item in orders if item.status != 200] == []
    assert {item.status for item in passed_on} <= {200, 502, 504}
    assert passed_on and rejected
    assert [item for item in rejected if item.id in run_ids] == []
    assert [item for item in rejected if item.took > MAX_REJECTION_TIME_S] == []
    assert all(float(item.retry_after or 0) > 0 for item in rejected)
    answered = [item for item in outcomes if item.status is not None]
    assert [item for item in answered if not item.closes] == []


def test_signals_during_a_stop_change_nothing(platform, workers):
    router = start_router(platform, 4)
    connection = KeptConnection(router, "order", RUN_TIMES_MS[1], 0)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(connection.ask, "signals")
        wait_until(lambda: any("signals" in id for id in workers[0].runs))
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            router.popen.send_signal(number)
            time.sleep(EVENT_INTERVAL_S)
        outcome = future.result()
    assert (outcome.status, outcome.is_complete) == (200, True)
    assert router.popen.wait(4) == 0


@pytest.mark.parametrize("kind", METHOD_BY_KIND)
def test_request_running_at_the_end_of_a_stop_gets_an_answer(platform, workers, kind):
    stop_time = 2
    router = start_router(platform, stop_time)
    connection = KeptConnection(router, kind, LONG_RUN_TIME_MS, 0)
    worker = next(worker for worker in workers if worker.id == f"w-{kind}")
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(connection.ask, "cut")
        wait_until(lambda: any("cut" in id for id in worker.runs))
        router.popen.terminate()
        outcome = future.result()
    assert router.popen.wait(stop_time) == 0
    if kind == "stream":
        assert (outcome.status, outcome.is_complete) == (200, False)
    else:
        assert (outcome.status, outcome.is_complete) == (504, True)
        assert outcome.closes


@pytest.mark.parametrize("delay", [0.1, 0.5, 0.9])
def test_stop_signal_during_start_ends_the_router(platform, workers, delay):
    router = platform.start_router(len(platform.routers), stop_time=2)
    platform.routers.append(router)
    time.sleep(delay)
    router.popen.terminate()
    assert router.popen.wait(6) in (0, -signal.SIGTERM)
