"""Upstreams that limit the requests/s that they accept from all routers together.

The routers are processes of their own; the workers are stand-ins.
"""

import signal
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from mulberryhub.adapter_standins.worker import RunLine

SERVICE = "limited"
REQUESTS_PER_S = 40
WINDOW_S = 4.0
CONTACT_TIME_S = 3.0  # after the first naming, in which no bound holds
MEASURED_TIME_S = 8.0
LIMIT_END_TIME_S = 6.0
MIN_USE_SHARE = 0.8
MAX_REFUSAL_TIME_S = 0.5


class LimitedService:
    """Two workers of one service that record when their requests arrive."""

    def __init__(self, folder, routers):
        self._folder = folder
        self._count = 0
        self.platform = PlatformFleet(folder, routers=routers)
        self.ids = ("u1", "u2")
        for id in self.ids:
            path = str(folder / f"{id}.runs")
            self.platform.start_worker(id, SERVICE, "a", runs_path=path)
        routes = [route(SERVICE, "/l/", "idempotent", SERVICE, maxAttempts=2)]
        self.platform.configure(
            make_config(routes=routes, services=[{"name": SERVICE}])
        )
        for router in self.platform.routers:
            wait_until(lambda router=router: self.ask(router).status == 200)

    def limit(self, rate, ids):
        for id in ids:
            self.platform.workers_by_id[id].set_faults(limit=rate)

    def end_limits(self):
        """Let the workers name no limit, and wait until the routers know."""
        self.limit(None, self.ids)
        deadline = time.monotonic() + LIMIT_END_TIME_S
        while statuses_of(self.load(1)) != {200}:
            assert time.monotonic() < deadline

    def ask(self, router):
        self._count += 1
        return router.ask("/l/x", "GET", id=f"r{self._count}")

    def load(self, duration, requests_per_s=REQUESTS_PER_S, routers=None):
        """Send requests to the routers in turn; return TimedAnswers."""
        routers = routers or self.platform.routers
        with ThreadPoolExecutor(32) as pool:
            futures = []
            start = time.monotonic()
            for number in range(round(duration * requests_per_s)):
                time.sleep(max(0, start + number / requests_per_s - time.monotonic()))
                futures.append(
                    pool.submit(self._timed_ask, routers[number % len(routers)])
                )
            return [future.result() for future in futures]

    def _timed_ask(self, router):
        began = time.monotonic()
        answer = self.ask(router)
        return TimedAnswer(answer, time.monotonic() - began)

    def arrivals(self, id, since):
        """Return the arrival times (s) of requests at `id` after `since`."""
        lines = (self._folder / f"{id}.runs").read_bytes().splitlines()
        times = [msgspec.json.decode(line, type=RunLine).at / 1000 for line in lines]
        return [at for at in times if at > since]


class TimedAnswer:
    def __init__(self, answer, duration):
        self.answer = answer
        self.duration = duration


def statuses_of(answers):
    return {item.answer.status for item in answers}


def largest_window(times):
    largest = 0
    window = deque()
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        largest = max(largest, len(window))
    return largest


def allowed(rate):
    return int(1.5 * rate * WINDOW_S + 5)


@pytest.fixture(scope="module", params=[1, 3, 7])
def service(request, tmp_path_factory):
    service = LimitedService(tmp_path_factory.mktemp("limited"), request.param)
    yield service
    service.platform.close()


@pytest.mark.parametrize("rate", [0.5, 1.5, 12])
@pytest.mark.parametrize("limited_count", [1, 2])
def test_limited_upstream_gets_its_rate_and_not_more(service, rate, limited_count):
    limited_ids = service.ids[:limited_count]
    service.end_limits()
    service.limit(rate, limited_ids)
    named_at = time.time()
    answers = service.load(CONTACT_TIME_S + 0.5 + MEASURED_TIME_S)
    for id in limited_ids:
        arrivals = service.arrivals(id, named_at + CONTACT_TIME_S + 0.5)
        assert largest_window(arrivals) <= allowed(rate)
        assert len(arrivals) >= int(MIN_USE_SHARE * rate * MEASURED_TIME_S)
    statuses = {item.answer.status for item in answers}
    if limited_count < len(service.ids):
        assert statuses == {200}
    refused = [item for item in answers if item.answer.status == 503]
    assert statuses <= {200, 503}
    for item in refused:
        assert float(item.answer.headers["Retry-After"]) > 0
        assert item.duration < MAX_REFUSAL_TIME_S


def test_upstream_that_names_no_limit_any_more_gets_all_requests(service):
    service.limit(0.5, service.ids)
    service.load(3)
    service.end_limits()
    assert statuses_of(service.load(3)) == {200}


@pytest.mark.parametrize("value", ["nan", "1, 2", "9" * 4_096, 1e9])
def test_unreadable_or_very_high_limit_refuses_nothing(service, value):
    service.end_limits()
    service.limit(value, service.ids)
    assert statuses_of(service.load(3)) == {200}


@pytest.mark.parametrize("number", [0, 1])
def test_frozen_router_lets_no_upstream_get_more_than_its_rate(service, number):
    routers = service.platform.routers
    frozen = routers[number % len(routers)]
    others = [router for router in routers if router is not frozen]
    rate = 3
    service.limit(rate, service.ids)
    named_at = time.time()
    service.load(CONTACT_TIME_S)
    frozen.popen.send_signal(signal.SIGSTOP)
    try:
        if others:
            service.load(5, routers=others)
    finally:
        frozen.popen.send_signal(signal.SIGCONT)
    service.load(5)
    for id in service.ids:
        arrivals = service.arrivals(id, named_at + CONTACT_TIME_S + 0.5)
        assert largest_window(arrivals) <= allowed(rate)
        assert len(arrivals) >= int(MIN_USE_SHARE * rate * 5)
