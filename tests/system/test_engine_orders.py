"""Engines load the newest accepted version, whichever router holds the lease."""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import MODEL, OPERATOR_KEY, LocalFleet

TIMEOUT_S = 60
MAX_CONCURRENT_LOADS = 2


class LoadSampler:
    """Samples how many engines load weights at the same time, until it is left."""

    def __init__(self, engines):
        self.engines = engines
        self.max_loading = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.sample)

    def sample(self):
        while not self.stopped.wait(0.02):
            loading = sum(get_report(engine)["loading"] for engine in self.engines)
            self.max_loading = max(self.max_loading, loading)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.stopped.set()
        self.thread.join()


def get_report(engine):
    return engine.request("GET", "/report").json()


def loaded_versions(engines):
    return {get_report(engine)["versions"].get(MODEL) for engine in engines}


def wait_for_version(engines, version):
    deadline = time.monotonic() + TIMEOUT_S
    while loaded_versions(engines) != {version} and time.monotonic() < deadline:
        time.sleep(0.1)
    assert loaded_versions(engines) == {version}


def lease_holder_index(routers):
    """Return the index of the router that acquired the lease most recently."""
    acquisitions = []
    for index, router in enumerate(routers):
        lines = router.read_stderr().splitlines()
        timestamps = [line.split()[0] for line in lines if "took the lease" in line]
        acquisitions.extend((timestamp, index) for timestamp in timestamps)
    return max(acquisitions)[1]


def inventory_with_version(local_fleet, version):
    document = local_fleet.inventory()
    document["models"][0]["version"] = version
    document["rules"] = {"loads_at_once": MAX_CONCURRENT_LOADS}
    for index, upstream in enumerate(document["upstreams"]):
        upstream["orders"] = ["load"]
        upstream["checks_fencing"] = index % 2 == 0
    return document


def send_inventory(router, document, base):
    return router.request(
        "POST",
        f"/admin/inventory?base={base}&author=ana",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        body=json.dumps(document),
    )


class UpgradeFleet(LocalFleet):
    """Three routers and four engines; every second engine checks fencing tokens."""

    def start_standins(self):
        super().start_standins()
        for index in range(4):
            options = ["--checks-fencing"] if index % 2 == 0 else []
            self.engines_by_id[f"engine-{index + 1}"] = self.process_group.start(
                "mulberryhub.standins.engine",
                "127.0.0.1:0",
                "--load-time=500",
                *options,
            )


@pytest.fixture
def upgrade_fleet():
    with UpgradeFleet(routers=3, engines=0, services=False) as local_fleet:
        yield local_fleet


def test_newest_accepted_version_wins_whoever_gives_orders(upgrade_fleet):
    routers = list(upgrade_fleet.routers_by_id.values())
    engines = list(upgrade_fleet.engines_by_id.values())
    apply_inventory(routers[0], inventory_with_version(upgrade_fleet, "1"))
    wait_until_ready(routers)
    with LoadSampler(engines) as sampler:
        wait_for_version(engines, "1")
        offset = check_paused_holder(upgrade_fleet, routers, engines)
        check_outdated_order(engines)
        check_concurrent_changes(upgrade_fleet, routers, engines, offset)
    assert 1 <= sampler.max_loading <= MAX_CONCURRENT_LOADS


def check_paused_holder(upgrade_fleet, routers, engines):
    """Change the version while the lease holder is paused until the lease expires."""
    holder = lease_holder_index(routers)
    other = routers[(holder + 1) % 3]
    routers[holder].send_signal(signal.SIGSTOP)
    try:
        response = None
        for base in range(50):
            response = send_inventory(
                other, inventory_with_version(upgrade_fleet, "2"), base
            )
            if response.status == 200:
                break
        assert response.status == 200, response.data
        wait_for_version(engines, "2")
    finally:
        routers[holder].send_signal(signal.SIGCONT)
    assert lease_holder_index(routers) != holder
    for _ in range(50):
        assert loaded_versions(engines) == {"2"}
        time.sleep(0.1)
    return response.json()["offset"]


def check_outdated_order(engines):
    """Send an order that a paused holder could send late.

    Engines that check fencing tokens refuse it; on the others it is reversed.
    """
    order = {"kind": "load", "model": MODEL, "version": "1", "fencing": 1}
    responses = [engine.request("POST", "/orders", json=order) for engine in engines]
    assert [response.status for response in responses] == [409, 200, 409, 200]
    wait_for_version(engines, "2")


def check_concurrent_changes(upgrade_fleet, routers, engines, offset):
    """Change the version twice from the same base: only one change is accepted."""
    new_versions = ("3", "4")
    with ThreadPoolExecutor(2) as threads:
        responses = list(
            threads.map(
                lambda pair: send_inventory(
                    pair[0], inventory_with_version(upgrade_fleet, pair[1]), offset
                ),
                zip(routers, new_versions),
            )
        )
    statuses = [response.status for response in responses]
    assert sorted(statuses) == [200, 409], [response.data for response in responses]
    wait_for_version(engines, new_versions[statuses.index(200)])
