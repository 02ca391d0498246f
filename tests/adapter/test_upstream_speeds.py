"""Speeds that routers learn from the pauses of real streams and tell one another."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

PAUSE_S_BY_ID = {"slow": 0.020, "usual": 0.010, "fast": 0.005}
TOKEN_COUNT = 12
REQUEST_COUNT = 90
ENOUGH_WEIGHT = 8  # of the responses to others, for a router that heard of them only
REFRESH_S = 1.1


def respond(conn, id, worker):
    conn.sendall(worker.head(id) + b"Content-Type: text/event-stream\r\n")
    conn.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
    for number in range(TOKEN_COUNT):
        time.sleep(PAUSE_S_BY_ID[worker.id])
        event = b"id: %d\ndata: x\n\n" % number
        conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    conn.sendall(b"0\r\n\r\n")
    return True


@pytest.fixture
def fleet(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=2)
    routes = [route("talk", "/t/", "streaming", "talk")]
    fleet.configure(make_config(routes=routes, services=[{"name": "talk"}]))
    workers = [RawWorker(fleet, id, "talk", respond) for id in PAUSE_S_BY_ID]
    yield fleet
    for worker in workers:
        worker.close()
    fleet.close()


def ask(router, number):
    return router.ask("/t/x", id=f"{router.name}-{number}").status


def known_speeds(router):
    """Return the last speed and the weight of others' responses that were logged."""
    lines = [item for item in router.lines() if "upstream speed" in item["message"]]
    return {item["upstream"]: (item["speed"], item["others_weight"]) for item in lines}


def test_routers_learn_speeds_and_tell_one_another(fleet):
    """Guards against a request path that does not observe events or share speeds."""
    teacher, listener = fleet.routers
    for router in fleet.routers:
        wait_until(lambda router=router: ask(router, "first") == 200)
    with ThreadPoolExecutor(6) as pool:
        statuses = pool.map(lambda n: ask(teacher, n), range(REQUEST_COUNT))
        assert set(statuses) == {200}

    def has_learned(router):
        time.sleep(REFRESH_S)
        ask(router, time.monotonic_ns())
        return {"slow", "fast"} <= known_speeds(router).keys()

    wait_until(lambda: has_learned(listener))
    slow, others_weight = known_speeds(listener)["slow"]
    assert slow < 0.75 and others_weight >= ENOUGH_WEIGHT
    assert known_speeds(listener)["fast"][0] > 1.33
