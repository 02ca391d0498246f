"""The platform's store comes back from an older copy, and offsets are given out again.

The store loses what it acknowledged in the seconds before, is away for a moment, and
the operator and the workers write their records again. Routers are processes.
"""

import time

import msgspec
import pytest

from mulberryhub.adapter_standins.documents import MODEL, make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

ROUTERS = 3
AWAY_S = 0.5
REWRITE_DELAY_S = 0.3
CONFIGURATION_TIME_S = 2.0
UPSTREAM_TIME_S = 2.0
WEIGHTS_TIME_S = 12.0
CALL_RATE_TIME_S = 2.0


def respond(conn, id, worker):
    conn.sendall(worker.head(id) + b"Content-Length: 2\r\n\r\nok")
    return True


class RevertingPlatform:
    """Routers and workers before a store that goes back to older copies."""

    def __init__(self, folder):
        self.fleet = PlatformFleet(folder, routers=ROUTERS)
        self.version = 1
        self.workers = []
        self.configure()
        wait_until(lambda: all(router.is_ready() for router in self.fleet.routers))
        for number, router in enumerate(self.fleet.routers):
            wait_until(
                lambda router=router, number=number: (
                    router.ask_model(id=f"warm{number}").status == 200
                )
            )

    def configure(self, *services):
        """Write the next version of the configuration, with a route per service."""
        self.version += 1
        routes = [
            route("stream", "/s/", "streaming", "llm", maxAttempts=2, canResume=True)
        ]
        routes += [
            route(name, f"/{name}/", "idempotent", name, maxAttempts=2)
            for name in services
        ]
        llm = {"name": "llm", "engine": {"slots": 8, "models": [{"name": MODEL}]}}
        self.config = make_config(
            self.version,
            routes=routes,
            services=[llm, *({"name": name} for name in services)],
        )
        self.fleet.write("config", self.config)

    def start_worker(self, id, service, **fields):
        worker = RawWorker(self.fleet, id, service, respond, **fields)
        self.workers.append(worker)
        return worker

    def revert(self, age, away=AWAY_S):
        """Let the store go back to a copy that is `age` s old, and write again."""
        self.fleet.store.request("POST", "/revert", json={"age": age, "away": away})
        time.sleep(away + REWRITE_DELAY_S)
        self.write_again()

    def write_again(self):
        self.fleet.write("config", self.config)
        for worker in self.workers:
            worker.write_again()
        for process in self.fleet.workers_by_id.values():
            process.request("POST", "/register")

    def is_served(self, service):
        """Return whether all routers serve the route of `service`."""
        return all(
            router.ask(f"/{service}/x", "GET", id=f"{service}{time.monotonic()}").status
            == 200
            for router in self.fleet.routers
        )


@pytest.fixture
def platform(tmp_path):
    platform = RevertingPlatform(tmp_path)
    yield platform
    platform.fleet.close()


@pytest.mark.parametrize("age", [1, 3, 30])
def test_configuration_is_adopted_and_none_is_withdrawn(platform, age):
    platform.start_worker("c1", "first")
    platform.start_worker("d1", "second")
    platform.configure("first")
    wait_until(lambda: platform.is_served("first"))
    time.sleep(0.2)
    platform.fleet.store.request("POST", "/revert", json={"age": age, "away": AWAY_S})
    end = time.monotonic() + AWAY_S + REWRITE_DELAY_S
    while time.monotonic() < end:
        assert platform.is_served("first")
    platform.write_again()
    platform.configure("first", "second")
    wait_until(lambda: platform.is_served("second"), CONFIGURATION_TIME_S)
    assert platform.is_served("first")


def test_worker_that_moves_after_the_revert_is_used(platform):
    old = platform.start_worker("c1", "first")
    platform.configure("first")
    wait_until(lambda: platform.is_served("first"))
    time.sleep(3.5)
    platform.revert(3)
    old.end()
    platform.workers.remove(old)
    new = platform.start_worker("c1", "first", born=2)
    wait_until(lambda: platform.is_served("first"), UPSTREAM_TIME_S)
    assert new.runs


def test_worker_that_is_removed_after_the_revert_gets_no_requests(platform):
    gone = platform.start_worker("c1", "first")
    platform.start_worker("c2", "first")
    platform.configure("first")
    wait_until(lambda: platform.is_served("first"))
    time.sleep(3.5)
    platform.revert(3)
    platform.workers.remove(gone)
    gone.deregister()
    time.sleep(UPSTREAM_TIME_S)
    count = len(gone.runs)
    for _ in range(20):
        assert platform.is_served("first")
    assert len(gone.runs) == count


def test_worker_whose_removal_is_lost_gets_no_requests(platform):
    gone = platform.start_worker("c1", "first")
    platform.start_worker("c2", "first")
    platform.configure("first")
    wait_until(lambda: platform.is_served("first"))
    time.sleep(2.5)
    platform.workers.remove(gone)
    gone.deregister()
    time.sleep(1.5)
    count = len(gone.runs)
    platform.revert(3)
    for _ in range(20):
        assert platform.is_served("first")
    assert len(gone.runs) == count


def test_worker_that_the_copy_lacks_is_still_used(platform):
    platform.start_worker("c1", "first")
    platform.configure("first")
    wait_until(lambda: platform.is_served("first"))
    platform.fleet.store.request("POST", "/revert", json={"age": 30, "away": AWAY_S})
    end = time.monotonic() + AWAY_S + 2.0
    while time.monotonic() < end:
        assert platform.is_served("first")
    platform.write_again()
    end = time.monotonic() + 3.0
    while time.monotonic() < end:
        assert platform.is_served("first")


@pytest.mark.parametrize("age", [3, 30])
def test_new_weights_are_loaded_with_rising_tokens(platform, age):
    platform.fleet.write(f"version/{MODEL}", {"model": MODEL, "version": 2})
    wait_until(lambda: loaded_version(platform) == 2, WEIGHTS_TIME_S)
    platform.revert(age)
    platform.fleet.write(f"version/{MODEL}", {"model": MODEL, "version": 3})
    wait_until(lambda: loaded_version(platform) == 3, WEIGHTS_TIME_S)
    for id in ("w1", "w2"):
        orders = platform.fleet.workers_by_id[id].request("GET", "/orders").json()
        tokens = [order["fence"] for order in orders]
        assert tokens == sorted(tokens)


def loaded_version(platform):
    reports = [
        platform.fleet.workers_by_id[id].request("GET", "/api/report").json()
        for id in ("w1", "w2")
    ]
    return min(report["models"][0]["version"] for report in reports)


@pytest.mark.parametrize("reverts", [1, 2])
def test_calls_to_the_store_return_to_their_rate(platform, reverts):
    time.sleep(3)
    rate = count_calls(platform, 2.0)
    for _ in range(reverts):
        platform.revert(3, away=0.2)
    time.sleep(CALL_RATE_TIME_S)
    assert count_calls(platform, 2.0) <= 1.3 * rate + 4


def count_calls(platform, duration):
    before = platform.fleet.store.request("GET", "/calls").json()
    time.sleep(duration)
    return platform.fleet.store.request("GET", "/calls").json() - before


def test_router_that_starts_later_hears_of_all_others(platform):
    time.sleep(1)
    platform.revert(30)
    time.sleep(2.5)
    members = platform.fleet.store.request(
        "GET", "/api/log-newest?topic=keyed.members&part=0"
    )
    keys = {item["key"] for item in msgspec.json.decode(members.data)["items"]}
    assert {router.name for router in platform.fleet.routers} <= keys
