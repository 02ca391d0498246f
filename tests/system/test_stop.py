"""Requests through a router that is stopped with less time than they need."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import LocalFleet
from tests.system.test_at_most_once import OrderFleet, error_of, make_key

STOP_TIMEOUT_MS = 500
RUN_TIME_MS = 5_000


@pytest.fixture(scope="module")
def order_fleet(tmp_path_factory):
    settings = {"stop_timeout": STOP_TIMEOUT_MS}
    with LocalFleet(2, 0, settings=settings, services=False) as local_fleet:
        order_fleet = OrderFleet(local_fleet, tmp_path_factory.mktemp("orders"))
        inventory = order_fleet.inventory()
        reads = {"path": "/reads", "upstreams": ["worker"], "idempotent": True}
        inventory["routes"].append(reads)
        apply_inventory(order_fleet.routers[0], inventory)
        wait_until_ready(order_fleet.routers)
        yield order_fleet


@pytest.mark.parametrize("path", ["/orders", "/reads"])
def test_call_running_at_the_end_of_a_stop_gets_an_answer(order_fleet, path):
    key = make_key()
    router = order_fleet.routers[1]
    order_fleet.worker.set_faults(late=RUN_TIME_MS)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(order_fleet.send, 1, key, path)
        order_fleet.wait_for_run(key)
        assert router.stop() == 0
        response = call.result()
    order_fleet.worker.set_faults(late=None)
    assert response.status == 504
    assert error_of(response)[1] == "unknown"
    order_fleet.restart_router(1)
    assert order_fleet.run_count(key) == 1
