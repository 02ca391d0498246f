"""One odd entry among those of the workers, read by routers that are real processes."""

import time

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from mulberryhub.base.tasks import RESTART_DELAY_MS
from tests.adapter.odd_entries import all_odd_entries, odd_addresses
from tests.adapter.raw_workers import RawWorker
from tests.support.broken_connections import allow_broken_connection

REQUEST_COUNT = 20  # to each router
READ_TIMEOUT_S = 5  # for both routers to know a new worker
FAILURES = ("task failed", "request handler failed", "entry not applied")
ENTRIES = all_odd_entries()


def answer_ok(conn, id, worker):
    conn.sendall(worker.head(id) + b"Content-Length: 2\r\n\r\nok")
    return True


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=3)
    config = make_config()
    routes = [
        *config["routes"],
        route("late", "/late/", "idempotent", "late", maxAttempts=2),
    ]
    services = [*config["services"], {"name": "late"}]
    try:
        fleet.configure(make_config(routes=routes, services=services))
        for router in fleet.routers:
            wait_until(
                lambda router=router: router.ask("/r/x", "GET", id="warm").status == 200
            )
        yield fleet
    finally:
        fleet.close()


def write(platform, key, body):
    platform.store.request("POST", f"/worker/{key}", body=body)


def reaches(router, worker, path):
    with allow_broken_connection():
        answer = router.ask(path, "GET", id="known")
        return answer.headers.get("X-Mulberryhub-Response-Seal") == worker.id
    return False


def failures_by_router(platform):
    return [
        [line for line in router.lines() if line.get("message") in FAILURES]
        for router in platform.routers
    ]


def wait_until_followed(platform, id):
    """Add a worker after the odd entry and wait until each router has reached it."""
    late = RawWorker(platform, id, "late", answer_ok)
    try:
        for router in platform.routers:
            wait_until(
                lambda router=router: reaches(router, late, "/late/x"), READ_TIMEOUT_S
            )
    finally:
        late.close()


@pytest.mark.parametrize("name", ENTRIES)
def test_odd_entry_neither_fails_requests_nor_hides_other_entries(platform, name):
    before = failures_by_router(platform)
    write(platform, f"odd-{name}", ENTRIES[name])
    try:
        wait_until_followed(platform, f"late-{name}")
        time.sleep(RESTART_DELAY_MS / 1_000)
        statuses = [
            router.ask("/r/x", "GET", id=f"{name}{number}").status
            for router in platform.routers
            for number in range(REQUEST_COUNT)
        ]
    finally:
        write(platform, f"odd-{name}", b"")
    assert statuses == [200] * REQUEST_COUNT * len(platform.routers)
    assert failures_by_router(platform) == before


def test_odd_entry_is_logged_once_though_it_is_written_again(platform):
    key = "odd-again"
    for _ in range(3):
        write(platform, key, ENTRIES["no_port"])
        wait_until_followed(platform, "late-again")
    write(platform, key, b"")
    lines = [
        line
        for router in platform.routers
        for line in router.lines()
        if line.get("message") == "odd entry" and line.get("key") == key
    ]
    assert 1 <= len(lines) <= len(platform.routers)


def test_worker_whose_entry_turned_odd_gets_no_requests_until_it_is_good(platform):
    worker = RawWorker(platform, "turned", "desk", answer_ok)
    router = platform.routers[0]
    wait_until(lambda: reaches(router, worker, "/r/x"))
    write(platform, worker.id, odd_addresses()["port_above_range"])
    wait_until_followed(platform, "late-turned")
    runs_before = len(worker.runs)
    answers = [
        item.ask("/r/x", "GET", id=f"turned{number}")
        for item in platform.routers
        for number in range(REQUEST_COUNT)
    ]
    assert {answer.status for answer in answers} == {200}
    assert len(worker.runs) == runs_before
    worker.write_again()
    wait_until(lambda: reaches(router, worker, "/r/x"))
    worker.close()
