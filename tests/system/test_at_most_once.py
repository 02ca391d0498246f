"""Calls with an idempotency key run at most once, whatever fails."""

import random
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.ports import free_address
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, LocalFleet
from mulberryhub.orders.claim_state import KEY_VALIDITY_MS
from mulberryhub.orders.idempotency import new_idempotency_key

CALLER_KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
LOG_DELAY_MS = 1_000


class OrderFleet:
    """Three routers and one order worker, which counts its runs by idempotency key."""

    def __init__(self, local_fleet, directory):
        self.local_fleet = local_fleet
        self.log = local_fleet.log
        self.path = directory / "runs"
        self.worker_address = free_address()
        self.worker = self.start_worker()
        self.executor = ThreadPoolExecutor(64)

    @property
    def routers(self):
        return list(self.local_fleet.routers_by_id.values())

    def start_worker(self):
        self.worker = self.local_fleet.process_group.start(
            "mulberryhub.standins.service", self.worker_address, self.path
        )
        return self.worker

    def restart_router(self, index):
        self.local_fleet.start_router(self.local_fleet.router_ids[index])
        wait_until_ready(self.routers)

    def inventory(self):
        document = self.local_fleet.inventory()
        document["upstreams"].append(
            {
                "id": "worker",
                "kind": "service",
                "data_centre": "bangkok-1",
                "address": self.worker_address,
            }
        )
        document["routes"] = [
            {"path": "/orders", "upstreams": ["worker"], "idempotent": False}
        ]
        return document

    def send(self, index, key, path="/orders"):
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": key}
        return self.routers[index].request(
            "POST", path, headers=headers, json={"part": "seal"}, timeout=60
        )

    def submit(self, index, key):
        return self.executor.submit(self.send, index, key)

    def send_refused(self, index, key):
        return error_of(self.send(index, key))

    def run_count(self, key):
        return self.worker.request("GET", "/runs").json()["by_key"].get(key, 0)

    def wait_for_run(self, key):
        deadline = time.monotonic() + 20
        while self.run_count(key) == 0 and time.monotonic() < deadline:
            time.sleep(0.02)
        assert self.run_count(key) == 1

    def retry_until_status(self, index, key, status):
        """Repeat the call until its response has `status`."""
        deadline = time.monotonic() + 30
        while True:
            response = self.send(index, key)
            if response.status == status or time.monotonic() > deadline:
                assert response.status == status, response.data
                return response
            time.sleep(0.2)


def error_of(response):
    assert response.status >= 400, response.data
    error = response.json()["error"]
    return error["code"], error["ran"]


@pytest.fixture(scope="module")
def order_fleet(tmp_path_factory):
    with LocalFleet(routers=3, engines=0, services=False) as local_fleet:
        order_fleet = OrderFleet(local_fleet, tmp_path_factory.mktemp("orders"))
        apply_inventory(order_fleet.routers[0], order_fleet.inventory())
        wait_until_ready(order_fleet.routers)
        yield order_fleet


@pytest.fixture(autouse=True)
def clear_faults(order_fleet):
    yield
    order_fleet.log.set_faults(**dict.fromkeys(["delay", "outage", "lose_answers"]))
    order_fleet.worker.set_faults(
        **dict.fromkeys(["slow", "late", "silent", "drop_answers", "status"])
    )
    for index in range(3):
        order_fleet.retry_until_status(index, make_key(), 201)


@pytest.fixture
def key():
    return make_key()


def make_key(age=0):
    return new_idempotency_key(time.time_ns() // 1_000_000 - age)


def test_same_call_through_all_routers_at_once(order_fleet, key):
    order_fleet.worker.set_faults(slow=200)
    calls = [order_fleet.submit(index % 3, key) for index in range(12)]
    responses = [call.result() for call in calls]
    assert {response.status for response in responses} == {201}
    assert len({response.data for response in responses}) == 1
    assert order_fleet.run_count(key) == 1


def test_router_killed_after_sending(order_fleet, key):
    order_fleet.worker.set_faults(late=2_000)
    call = order_fleet.submit(0, key)
    order_fleet.wait_for_run(key)
    order_fleet.routers[0].kill()
    assert call.exception() is not None
    assert order_fleet.send_refused(1, key) == ("in_progress", "unknown")
    order_fleet.restart_router(0)
    assert order_fleet.send_refused(0, key) == ("in_progress", "unknown")
    assert order_fleet.run_count(key) == 1


def test_router_killed_between_claim_and_send(order_fleet, key):
    order_fleet.log.set_faults(delay=LOG_DELAY_MS)
    call = order_fleet.submit(0, key)
    time.sleep(1.5 * LOG_DELAY_MS / 1000)
    assert not call.done()
    order_fleet.routers[0].kill()
    assert call.exception() is not None
    order_fleet.log.set_faults(delay=None)
    assert order_fleet.send_refused(1, key) == ("in_progress", "unknown")
    order_fleet.restart_router(0)
    assert order_fleet.run_count(key) == 0


@pytest.mark.parametrize("pause", [0.0, 6.0])
def test_router_paused_between_claim_and_send(order_fleet, key, pause):
    order_fleet.log.set_faults(delay=LOG_DELAY_MS)
    call = order_fleet.submit(0, key)
    time.sleep(1.5 * LOG_DELAY_MS / 1000)
    order_fleet.routers[0].send_signal(signal.SIGSTOP)
    assert not call.done()
    try:
        order_fleet.log.set_faults(delay=None)
        assert order_fleet.send_refused(1, key) == ("in_progress", "unknown")
        assert order_fleet.run_count(key) == 0
        time.sleep(pause)
    finally:
        order_fleet.routers[0].send_signal(signal.SIGCONT)
    response = call.result()
    if response.status != 201:
        assert error_of(response) == ("log_unavailable", "not_run")
        assert order_fleet.run_count(key) == 0
    order_fleet.retry_until_status(1, key, 201)
    assert order_fleet.run_count(key) == 1


def test_router_paused_after_sending(order_fleet, key):
    order_fleet.worker.set_faults(late=500)
    call = order_fleet.submit(0, key)
    order_fleet.wait_for_run(key)
    order_fleet.routers[0].send_signal(signal.SIGSTOP)
    try:
        time.sleep(2)
        assert order_fleet.send_refused(1, key) == ("in_progress", "unknown")
    finally:
        order_fleet.routers[0].send_signal(signal.SIGCONT)
    first = call.result()
    assert first.status == 201
    assert order_fleet.retry_until_status(1, key, 201).data == first.data
    assert order_fleet.run_count(key) == 1


def test_log_unavailable(order_fleet, key):
    order_fleet.log.set_faults(outage=True)
    for index in range(3):
        response = order_fleet.send(index, key)
        assert error_of(response) == ("log_unavailable", "not_run")
        assert int(response.headers["Retry-After"]) > 0
    assert order_fleet.run_count(key) == 0
    order_fleet.log.set_faults(outage=None)
    order_fleet.retry_until_status(1, key, 201)
    assert order_fleet.run_count(key) == 1


def test_log_unavailable_while_the_call_runs(order_fleet, key):
    order_fleet.worker.set_faults(slow=1_000)
    call = order_fleet.submit(0, key)
    time.sleep(0.5)
    order_fleet.log.set_faults(outage=True)
    first = call.result()
    assert first.status == 201
    assert order_fleet.send_refused(1, key)[0] == "log_unavailable"
    order_fleet.log.set_faults(outage=None)
    assert order_fleet.retry_until_status(1, key, 201).data == first.data
    assert order_fleet.run_count(key) == 1


def test_response_of_the_log_lost(order_fleet, key):
    order_fleet.log.set_faults(lose_answers=1)
    assert order_fleet.send(0, key).status == 201
    assert order_fleet.send(1, key).headers["Idempotency-Replayed"] == "true"
    assert order_fleet.run_count(key) == 1


def test_late_response_is_stored(order_fleet, key):
    order_fleet.worker.set_faults(late=12_000)
    assert order_fleet.send_refused(0, key) == ("upstream_silent", "unknown")
    assert (
        order_fleet.retry_until_status(1, key, 201).headers["Idempotency-Replayed"]
        == "true"
    )
    assert order_fleet.run_count(key) == 1


@pytest.mark.parametrize(
    ("fault", "run_count"), [("crash_before", 0), ("crash_after", 1)]
)
def test_worker_crashes_during_the_call(order_fleet, key, fault, run_count):
    order_fleet.worker.set_faults(**{fault: 1})
    assert order_fleet.send_refused(0, key) == ("upstream_failed", "unknown")
    order_fleet.start_worker()
    assert order_fleet.send_refused(1, key) == ("outcome_unknown", "unknown")
    assert order_fleet.run_count(key) == run_count


def test_worker_not_running(order_fleet, key):
    order_fleet.worker.kill()
    assert order_fleet.send_refused(0, key) == ("no_upstream", "not_run")
    order_fleet.start_worker()
    assert order_fleet.run_count(key) == 0
    order_fleet.retry_until_status(1, key, 201)
    assert order_fleet.run_count(key) == 1


def test_expired_key_is_refused(order_fleet):
    old = make_key(KEY_VALIDITY_MS + 1_000)
    assert order_fleet.send_refused(0, old) == ("idempotency_key_expired", "not_run")
    assert order_fleet.run_count(old) == 0


def test_graceful_stop_waits_for_the_call(order_fleet, key):
    order_fleet.worker.set_faults(slow=1_500)
    call = order_fleet.submit(2, key)
    time.sleep(0.5)
    assert order_fleet.routers[2].stop() == 0
    assert call.result().status == 201
    order_fleet.worker.set_faults(slow=None)
    order_fleet.restart_router(2)
    assert order_fleet.send(2, key).headers["Idempotency-Replayed"] == "true"
    assert order_fleet.run_count(key) == 1


def test_many_calls_with_faults(order_fleet):
    rng = random.Random(7)
    keys = [make_key() for _ in range(60)]
    shuffled_keys = keys * 3
    rng.shuffle(shuffled_keys)
    order_fleet.worker.set_faults(slow=20, drop_answers=6)
    order_fleet.log.set_faults(lose_answers=10)
    calls = [(key, order_fleet.submit(rng.randrange(3), key)) for key in shuffled_keys]
    time.sleep(0.3)
    order_fleet.log.set_faults(outage=True)
    time.sleep(0.3)
    order_fleet.log.set_faults(outage=None)
    execution_states_by_key = {key: set() for key in keys}
    for key, call in calls:
        response = call.result()
        execution_state = "ran" if response.status == 201 else error_of(response)[1]
        execution_states_by_key[key].add(execution_state)
    for key, execution_states in execution_states_by_key.items():
        assert order_fleet.run_count(key) <= 1
        if execution_states == {"not_run"}:
            assert order_fleet.run_count(key) == 0
        if "ran" in execution_states:
            assert order_fleet.run_count(key) == 1
