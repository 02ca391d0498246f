"""What a router takes upstreams for after a pause, and while it hears no other router.

Routers are processes of their own; the upstreams answer as a test asks.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from threading import Lock

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker
from tests.support.broken_connections import allow_broken_connection

RECOVERY_TIME_S = 12.0  # in which an upstream that is back has requests again
TARGET_LATENCY_S = 0.5
MIN_IN_TIME_SHARE = 0.95  # of requests, as users require
UNHEARD_TIME_S = 2.5  # after which the reports of others do not count any more
RUN_TIME_S = 0.3
LONG_RUN_TIME_S = 1.0
REQUEST_INTERVAL_S = 0.05
OBSERVED_TIME_S = 5.0
IN_FLIGHT_COUNT = 12
IDS = count()


class Upstreams:
    """Two routers before upstreams of one service, of which the first one is busy."""

    def __init__(self, folder):
        self.fleet = PlatformFleet(folder, routers=2)
        self.lock = Lock()
        self.upstreams = []
        routes = [
            route(
                "read",
                "/r/",
                "idempotent",
                "late",
                maxAttempts=2,
                targetLatencyMs=int(TARGET_LATENCY_S * 1000),
            )
        ]
        self.fleet.configure(make_config(routes=routes, services=[{"name": "late"}]))

    def start_upstream(self):
        """Start an upstream and return it when all routers have used it."""
        id = f"u{len(self.upstreams)}"
        upstream = RawWorker(self.fleet, id, "late", self.respond)
        self.upstreams.append(upstream)
        for router in self.fleet.routers:
            wait_until(lambda router=router: self.has_used(router, upstream))
        return upstream

    def has_used(self, router, upstream):
        before = len(upstream.runs)
        return self.ask(router) == 200 and len(upstream.runs) > before

    def respond(self, conn, id, worker):
        """Run long requests one after another, and others as their id says."""
        if "long" in id:
            with self.lock:
                time.sleep(LONG_RUN_TIME_S)
        elif worker.id == "u0" and self.lock.locked():
            with self.lock:
                pass
        elif "slow" in id:
            time.sleep(RUN_TIME_S)
        conn.sendall(worker.head(id) + b"Content-Length: 2\r\n\r\nok")
        return True

    def ask(self, router, kind="short"):
        """Return the status of a request, None without an answer."""
        answers = []
        with allow_broken_connection():
            answers.append(router.ask("/r/x", "GET", id=f"{kind}-{next(IDS)}").status)
        return answers[0] if answers else None

    def time_request(self, router):
        """Return the time in s that a request took, infinite if it is not served."""
        began = time.monotonic()
        status = self.ask(router)
        return time.monotonic() - began if status == 200 else float("inf")

    def close(self):
        for router in self.fleet.routers:
            router.popen.send_signal(signal.SIGCONT)
        for upstream in self.upstreams:
            upstream.end()
        self.fleet.close()


@pytest.fixture
def platform(tmp_path):
    platform = Upstreams(tmp_path)
    yield platform
    platform.close()


def failing_count(router):
    return sum("is failing" in str(line.get("message")) for line in router.lines())


@pytest.mark.parametrize("duration", [1, 5])
def test_upstream_that_is_back_during_a_pause_is_used_again(platform, duration):
    broken, _ = platform.start_upstream(), platform.start_upstream()
    router = platform.fleet.routers[0]
    broken.end()
    wait_until(lambda: platform.ask(router) and failing_count(router))
    router.popen.send_signal(signal.SIGSTOP)
    time.sleep(duration)
    broken.start_again()
    router.popen.send_signal(signal.SIGCONT)
    end = time.monotonic() + RECOVERY_TIME_S
    before = len(broken.runs)
    while len(broken.runs) == before:
        assert time.monotonic() < end
        assert platform.ask(router) == 200
        time.sleep(REQUEST_INTERVAL_S)


# The answers came in time; it was the router that did not read them.
@pytest.mark.parametrize("duration", [1, 3, 5])
def test_sound_upstreams_are_not_avoided_after_a_pause_of_the_router(
    platform, duration
):
    for _ in range(2):
        platform.start_upstream()
    router = platform.fleet.routers[0]
    with ThreadPoolExecutor(IN_FLIGHT_COUNT) as pool:
        futures = [
            pool.submit(platform.ask, router, "slow") for _ in range(IN_FLIGHT_COUNT)
        ]
        wait_until(
            lambda: (
                sum(
                    "slow" in id
                    for upstream in platform.upstreams
                    for id in upstream.runs
                )
                == IN_FLIGHT_COUNT
            )
        )
        router.popen.send_signal(signal.SIGSTOP)
        time.sleep(duration)
        router.popen.send_signal(signal.SIGCONT)
        statuses = [future.result() for future in futures]
    assert failing_count(router) == 0, statuses
    assert platform.ask(router) == 200


def test_router_that_hears_no_other_finds_an_idle_upstream(platform):
    platform.start_upstream()
    other, router = platform.fleet.routers
    runs = int((UNHEARD_TIME_S + OBSERVED_TIME_S) / LONG_RUN_TIME_S) + 3
    with ThreadPoolExecutor(100) as pool:
        for _ in range(runs):
            pool.submit(platform.ask, other, "long")
        wait_until(
            lambda: sum("long" in id for id in platform.upstreams[0].runs) == runs
        )
        other.popen.send_signal(signal.SIGSTOP)
        idle = RawWorker(platform.fleet, "u1", "late", platform.respond)
        platform.upstreams.append(idle)
        time.sleep(UNHEARD_TIME_S)
        futures = []
        for _ in range(int(OBSERVED_TIME_S / REQUEST_INTERVAL_S)):
            futures.append(pool.submit(platform.time_request, router))
            time.sleep(REQUEST_INTERVAL_S)
        assert platform.lock.locked()
        times = [future.result() for future in futures]
        other.popen.send_signal(signal.SIGCONT)
    in_time = [value for value in times if value <= TARGET_LATENCY_S]
    assert len(in_time) >= MIN_IN_TIME_SHARE * len(times)
