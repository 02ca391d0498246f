"""Many endless responses at once, beside orders that upstreams run for other clients.

The router is a process of its own, with the memory limit of the smallest standard site.
"""

import threading
import time

import pytest

from benchmarks.long_requests import (
    MEMORY_LIMIT_MB,
    Outcome,
    connect,
    is_served,
    order_head,
    read_answer,
    watch_memory,
)
from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.endless_workers import PATTERNS, EndlessClients, EndlessWorkers
from tests.adapter.test_field_faults import has_log_line

WORKERS = 12
ENDLESS_CLIENTS = 60
ORDER_CLIENTS = 12
ROUTE_TIMEOUT_MS = 2_000
LOAD_S = 3
SETTLE_S = 0.5
MAX_ORDER_MS = 500
ORDERS_IN_TIME = 0.99  # others may wait for processes beside the test
LONG_PATTERNS = ("body to the close", "long chunks", "event line")
FIELDS_BY_KIND = {
    "idempotent": {"maxAttempts": 2},
    "streaming": {"maxAttempts": 2, "canResume": True},
}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=0)
    routes = [
        route(kind, f"/{kind}/", kind, kind, timeoutMs=ROUTE_TIMEOUT_MS, **fields)
        for kind, fields in FIELDS_BY_KIND.items()
    ]
    routes.append(route("order", "/o/", "non_idempotent", "desk"))
    services = [{"name": name} for name in FIELDS_BY_KIND] + make_config()["services"]
    fleet.config = make_config(routes=routes, services=services)
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def router(platform):
    router = platform.start_router(len(platform.routers), memory=MEMORY_LIMIT_MB)
    platform.routers.append(router)
    platform.write("config", platform.config)
    wait_until(lambda: router.is_ready() and is_served(router))
    yield router
    router.popen.kill()
    router.popen.wait()


def send_orders(router, client, ended, outcome, durations):
    """Send orders on one connection; note their answers and how many ms they took."""
    sock = connect(router)
    number = 0
    while not ended.is_set():
        number += 1
        began = time.monotonic()
        sock.sendall(
            order_head(f"order-{client}-{number}", "/o/x", 5, 4_000) + b"order"
        )
        answer = read_answer(sock)
        durations.append((time.monotonic() - began) * 1_000)
        outcome.short_answers[answer.status] += 1
        if not answer.status:
            outcome.lost += 1
            return
        time.sleep(0.02)


def run_load(platform, router, kind, pattern, is_slow):
    """Return the Outcome of orders beside endless responses, and their durations."""
    workers = EndlessWorkers(pattern, WORKERS)
    workers.register(platform, kind)
    last_id = f"endless-{WORKERS - 1}"
    wait_until(lambda: has_log_line(router, "upstream known", last_id))
    outcome, durations = Outcome(), []
    ended = threading.Event()
    threads = [threading.Thread(target=watch_memory, args=(router, ended, outcome))]
    threads += [
        threading.Thread(
            target=send_orders, args=(router, client, ended, outcome, durations)
        )
        for client in range(ORDER_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(SETTLE_S)
    durations.clear()
    clients = EndlessClients(router.front, f"/{kind}/x", ENDLESS_CLIENTS, is_slow)
    try:
        time.sleep(LOAD_S)
    finally:
        clients.close()
        ended.set()
        for thread in threads:
            thread.join()
        workers.close()
        for number in range(WORKERS):
            platform.store.request("POST", f"/worker/endless-{number}", body=b"")
    return outcome, sorted(durations)


@pytest.mark.parametrize(
    "pattern, kind, is_slow",
    [(pattern, kind, False) for pattern in PATTERNS for kind in FIELDS_BY_KIND]
    + [(pattern, "idempotent", True) for pattern in LONG_PATTERNS],
)
def test_orders_are_answered_beside_many_endless_responses(
    platform, router, pattern, kind, is_slow
):
    # Guards against a process that ends for its memory, with the orders that run.
    outcome, durations = run_load(platform, router, kind, pattern, is_slow)
    assert router.popen.poll() is None
    assert outcome.lost == 0
    assert outcome.peak_mb < MEMORY_LIMIT_MB
    assert set(outcome.short_answers) == {200}
    assert durations[int(len(durations) * ORDERS_IN_TIME)] < MAX_ORDER_MS
