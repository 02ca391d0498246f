"""Releases with routers that are processes, which are killed, and a store that fails.

The workers are stand-ins of two software versions.
"""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from threading import Event

import pytest
import urllib3

from mulberryhub.adapter_standins.documents import HOST, KEY, make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

OLD, NEW = "4.1", "4.2"
SERVICES = ("good", "bad", "restarted", "unstored")
DURATION_S = 12
UNSTABLE_S = 6.0  # by which a failing store may stretch the bounds
REQUESTS_PER_S = 200
CLIENT_COUNT = 8
ERROR_SHARE = 0.4
ORDER_KNOWN_S = 0.3  # until all routers know of an order
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50


class ReleasedService:
    """A service with two workers of each version, and clients that send requests."""

    def __init__(self, platform, name, error_share=0.0):
        self.name = name
        self._platform = platform
        self._ids = {v: [f"{name}-{v}-{n}" for n in (1, 2)] for v in (OLD, NEW)}
        for version, ids in self._ids.items():
            for id in ids:
                platform.start_worker(id, name, "a", software=version)
        self._error_share = error_share  # of the target, from the order on
        self.statuses = []
        self._is_over = Event()
        self._numbers = count()
        self._pool = ThreadPoolExecutor(CLIENT_COUNT)

    def order(self, target=NEW):
        for id in self._ids[NEW]:
            worker = self._platform.workers_by_id[id]
            worker.set_faults(error_share=self._error_share)
        document = {"service": self.name, "target": target, "durationS": DURATION_S}
        self._platform.write(f"rollout/{self.name}", document)
        self.ordered_at = time.monotonic()
        time.sleep(ORDER_KNOWN_S)
        self._runs_before = {version: self.runs(version) for version in (OLD, NEW)}

    def status(self):
        """Return all states that were written as the status, the oldest first."""
        url = f"http://{self._platform.store.address}/api/log-read"
        fields = {"topic": "keyed.status", "part": 0, "from": 0}
        body = urllib3.request("GET", url, fields=fields).data
        states = []
        for record in split_records(body[16:]):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if key.decode() == f"rollout/{self.name}":
                assert json.loads(value)["target"] == NEW
                states.append(json.loads(value)["state"])
        return states

    def wait_for_end(self, state, timeout):
        wait_until(lambda: self.status()[-1:] == [state], timeout)
        return time.monotonic() - self.ordered_at

    def runs(self, version):
        return len(self._platform.runs(*self._ids[version]))

    def send_requests(self, routers):
        """Send requests in the background until `stop`."""
        for number in range(CLIENT_COUNT):
            self._pool.submit(self._run_client, number, routers)

    def _run_client(self, number, routers):
        pool = urllib3.PoolManager(retries=False)
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        while not self._is_over.is_set():
            router = routers[(number + next(self._numbers)) % len(routers)]
            headers["X-Mulberryhub-Attempt-Id"] = f"{self.name}{next(self._numbers)}"
            url = f"http://{router.front}/{self.name}/x"
            try:
                status = pool.request("GET", url, headers=headers, timeout=5).status
                self.statuses.append(status)
            except urllib3.exceptions.HTTPError:
                self.statuses.append(None)
            time.sleep(CLIENT_COUNT / REQUESTS_PER_S)

    def stop(self):
        self._is_over.set()
        self._pool.shutdown()

    def assert_share_kept(self):
        """Fail if the target received too much; a good one may once it is completed."""
        before = self._runs_before  # any version serves until the order is known
        exposed = self.runs(NEW) - before[NEW]
        received = exposed + self.runs(OLD) - before[OLD]
        assert exposed <= EXPOSE_SHARE * received + EXPOSE_SLACK


def split_records(data):
    while data:
        length = int.from_bytes(data[:4])
        yield data[4 : 4 + length]
        data = data[4 + length :]


def find_decider(platform):
    """Return the router that made the last step, None before the first."""
    steps = [
        (line["time"], index)
        for index, router in enumerate(platform.routers)
        for line in router.lines()
        if line["message"] == "release step"
    ]
    return platform.routers[max(steps)[1]] if steps else None


def kill(router):
    router.popen.kill()
    router.popen.wait()


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=3)
    routes = [
        route(name, f"/{name}/", "idempotent", name, maxAttempts=2) for name in SERVICES
    ]
    services = [{"name": name} for name in SERVICES]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def start_service(platform):
    services = []

    def start(name, error_share=0.0):
        service = ReleasedService(platform, name, error_share)
        services.append(service)
        service.send_requests(platform.routers)
        wait_until(lambda: service.statuses[-50:] == [200] * 50)
        return service

    yield start
    for service in services:
        service.stop()


def test_releases_end_in_time_though_their_decider_is_killed(platform, start_service):
    """A release stops with its decider, or a bad version receives too much."""
    good, bad = start_service("good"), start_service("bad", ERROR_SHARE)
    good.order()
    bad.order()
    time.sleep(4)
    killed = find_decider(platform)
    kill(killed)
    assert bad.wait_for_end("rolled_back", DURATION_S) < DURATION_S
    exposed = bad.runs(NEW)
    assert good.wait_for_end("completed", DURATION_S) < DURATION_S
    killed.start()
    bad.assert_share_kept()
    assert bad.runs(NEW) == exposed
    wait_until(killed.is_ready)
    known = ("completed", "rolled_back")  # at the restarted router, from the others
    wait_until(lambda: {item["state"] for item in show(killed)} == set(known))
    served_by_old = good.runs(OLD)
    time.sleep(3)
    assert good.runs(OLD) == served_by_old
    assert (good.status(), bad.status()) == (
        ["running", "completed"],
        ["running", "rolled_back"],
    )
    assert show(platform.routers[0])[1]["state"] == "completed"


def show(router):
    """Return what the command that shows releases prints as JSON."""
    command = [sys.executable, "-m", "mulberryhub.cli", "release", router.metrics]
    done = subprocess.run([*command, "--json"], capture_output=True, check=True)
    return json.loads(done.stdout)


def test_release_goes_on_after_all_routers_were_killed(platform, start_service):
    """The order counts as new, or is forgotten, once no router knows its state."""
    service = start_service("restarted")
    service.order()
    time.sleep(5)
    for router in platform.routers:
        kill(router)
    for router in platform.routers:
        router.start()
    assert service.wait_for_end("completed", DURATION_S) < DURATION_S
    assert service.status() == ["running", "completed"]


def test_store_outage_stretches_a_release(platform, start_service):
    """A version is exposed without a decider, or the release never ends."""
    service = start_service("unstored")
    service.order()
    time.sleep(5)
    platform.store.set_faults(refuse=True)
    time.sleep(3.5)
    exposed = service.runs(NEW)
    time.sleep(2)
    assert service.runs(NEW) == exposed
    service.assert_share_kept()
    platform.store.set_faults(refuse=None)
    end = service.wait_for_end("completed", DURATION_S + UNSTABLE_S)
    assert end < DURATION_S + UNSTABLE_S
    assert service.status() == ["running", "completed"]
