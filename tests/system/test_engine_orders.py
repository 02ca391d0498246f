import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.topology import MODEL, OPERATOR_KEY, Topology

TIMEOUT = 60  # s
LOADS_AT_ONCE = 2


class Loads:
    """Samples how many engines load at once."""

    def __init__(self, engines):
        self.engines = engines
        self.most = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        while not self.ended.wait(0.02):
            loading = sum(report(engine)["loading"] for engine in self.engines)
            self.most = max(self.most, loading)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()


def report(engine):
    return engine.request("GET", "/report").json()


def versions(engines):
    return {report(engine)["versions"].get(MODEL) for engine in engines}


def await_version(engines, version):
    deadline = time.monotonic() + TIMEOUT
    while versions(engines) != {version} and time.monotonic() < deadline:
        time.sleep(0.1)
    assert versions(engines) == {version}


def holder_of(routers):
    """Return the index of the router that took the lease last."""
    taken = []
    for index, router in enumerate(routers):
        lines = router.stderr().splitlines()
        times = [line.split()[0] for line in lines if "took the lease" in line]
        taken.extend((moment, index) for moment in times)
    return max(taken)[1]


def inventory(topology, version):
    document = topology.inventory()
    document["models"][0]["version"] = version
    document["rules"] = {"loads_at_once": LOADS_AT_ONCE}
    for index, upstream in enumerate(document["upstreams"]):
        upstream["orders"] = ["load"]
        upstream["checks_fencing"] = index % 2 == 0
    return document


def apply(router, document, base):
    return router.request(
        "POST",
        f"/admin/inventory?base={base}&author=ana",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        body=json.dumps(document),
    )


class Upgrades(Topology):
    """Three routers and four engines, of which every second checks fencing."""

    def start_standins(self):
        super().start_standins()
        for index in range(4):
            options = ["--checks-fencing"] if index % 2 == 0 else []
            self.engines_by_id[f"engine-{index + 1}"] = self.fleet.start(
                "mulberryhub.standins.engine",
                "127.0.0.1:0",
                "--load-time=500",
                *options,
            )


@pytest.fixture
def upgrades():
    with Upgrades(routers=3, engines=0, services=False) as topology:
        yield topology


def test_newest_accepted_version_wins_whoever_gives_orders(upgrades):
    routers = list(upgrades.routers_by_id.values())
    engines = list(upgrades.engines_by_id.values())
    apply_inventory(routers[0], inventory(upgrades, "1"))
    wait_ready(routers)
    with Loads(engines) as loads:
        await_version(engines, "1")
        offset = check_paused_holder(upgrades, routers, engines)
        check_late_order(engines)
        check_operators_race(upgrades, routers, engines, offset)
    assert 1 <= loads.most <= LOADS_AT_ONCE


def check_paused_holder(upgrades, routers, engines):
    """Change the version while the lease's holder is paused past its end."""
    holder = holder_of(routers)
    other = routers[(holder + 1) % 3]
    routers[holder].signal(signal.SIGSTOP)
    try:
        answer = None
        for base in range(50):
            answer = apply(other, inventory(upgrades, "2"), base)
            if answer.status == 200:
                break
        assert answer.status == 200, answer.data
        await_version(engines, "2")
    finally:
        routers[holder].signal(signal.SIGCONT)
    assert holder_of(routers) != holder
    for _ in range(50):
        assert versions(engines) == {"2"}
        time.sleep(0.1)
    return answer.json()["offset"]


def check_late_order(engines):
    """Send what a paused holder might send late: refused, or put right."""
    order = {"kind": "load", "model": MODEL, "version": "1", "fencing": 1}
    answers = [engine.request("POST", "/orders", json=order) for engine in engines]
    assert [answer.status for answer in answers] == [409, 200, 409, 200]
    await_version(engines, "2")


def check_operators_race(upgrades, routers, engines, offset):
    """Two operators change the version on the same base: one is accepted."""
    wanted = ("3", "4")
    with ThreadPoolExecutor(2) as threads:
        answers = list(
            threads.map(
                lambda pair: apply(pair[0], inventory(upgrades, pair[1]), offset),
                zip(routers, wanted),
            )
        )
    statuses = [answer.status for answer in answers]
    assert sorted(statuses) == [200, 409], [answer.data for answer in answers]
    await_version(engines, wanted[statuses.index(200)])
