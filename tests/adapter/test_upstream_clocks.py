"""Workers that start again under their ids while their wall clocks are wrong.

The routers are processes of their own, and only one of them hears what a worker says.
"""

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

ROUTERS = 2
RESTART_TIME_S = 5.0
STARTED_MS = 1_700_000_000_000
STEP_MS = 5_000
STEPS = {"behind": -STEP_MS, "ahead": STEP_MS}


class LeavingWorker(RawWorker):
    """A worker whose answers say that it leaves, while `is_leaving` is set."""

    is_leaving = False


def respond(conn, id, worker):
    leaving = b"Server-Leaving: 1\r\n" if worker.is_leaving else b""
    conn.sendall(worker.head(id) + leaving + b"Content-Length: 2\r\n\r\nok")
    return True


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=ROUTERS)
    routes = [
        route(name, f"/{name}/", "idempotent", name, maxAttempts=2) for name in STEPS
    ]
    services = [{"name": name} for name in STEPS]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


def is_served(router, service):
    return router.ask(f"/{service}/x").status == 200


@pytest.mark.parametrize("direction", STEPS)
def test_upstream_that_left_is_used_again_whatever_its_clock_says(platform, direction):
    worker = LeavingWorker(
        platform, f"w-{direction}", direction, respond, born=STARTED_MS
    )
    for router in platform.routers:
        wait_until(lambda router=router: is_served(router, direction))
    worker.is_leaving = True
    assert is_served(platform.routers[0], direction)
    for router in platform.routers:
        wait_until(lambda router=router: not is_served(router, direction))
    worker.end()
    worker.is_leaving = False
    worker.start_again(born=STARTED_MS + STEPS[direction])
    for router in platform.routers:
        wait_until(lambda router=router: is_served(router, direction), RESTART_TIME_S)
