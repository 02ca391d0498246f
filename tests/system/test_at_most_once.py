import random
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.ports import free_address
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, Topology
from mulberryhub.orders.claim_state import KEY_VALIDITY_MS
from mulberryhub.orders.idempotency import new_idempotency_key

CALLER_KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
LOG_DELAY = 1_000  # ms


class Orders:
    """Three routers before one order worker, whose own count is the judge."""

    def __init__(self, topology, directory):
        self.topology = topology
        self.log = topology.log
        self.path = directory / "runs"
        self.worker_address = free_address()
        self.worker = self.start_worker()
        self.pool = ThreadPoolExecutor(64)

    @property
    def routers(self):
        return list(self.topology.routers_by_id.values())

    def start_worker(self):
        self.worker = self.topology.fleet.start(
            "mulberryhub.standins.service", self.worker_address, self.path
        )
        return self.worker

    def restart_router(self, index):
        self.topology.start_router(self.topology.router_ids[index])
        wait_ready(self.routers)

    def inventory(self):
        document = self.topology.inventory()
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

    def send(self, index, key):
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": key}
        return self.routers[index].request(
            "POST", "/orders", headers=headers, json={"part": "seal"}, timeout=60
        )

    def start(self, index, key):
        return self.pool.submit(self.send, index, key)

    def refusal(self, index, key):
        return refusal_of(self.send(index, key))

    def count(self, key):
        return self.worker.request("GET", "/runs").json()["by_key"].get(key, 0)

    def await_count(self, key):
        deadline = time.monotonic() + 20
        while self.count(key) == 0 and time.monotonic() < deadline:
            time.sleep(0.02)
        assert self.count(key) == 1

    def await_status(self, index, key, status):
        """Repeat the call until it gets `status`."""
        deadline = time.monotonic() + 30
        while True:
            answer = self.send(index, key)
            if answer.status == status or time.monotonic() > deadline:
                assert answer.status == status, answer.data
                return answer
            time.sleep(0.2)


def refusal_of(answer):
    assert answer.status >= 400, answer.data
    error = answer.json()["error"]
    return error["code"], error["ran"]


@pytest.fixture(scope="module")
def orders(tmp_path_factory):
    with Topology(routers=3, engines=0, services=False) as topology:
        orders = Orders(topology, tmp_path_factory.mktemp("orders"))
        apply_inventory(orders.routers[0], orders.inventory())
        wait_ready(orders.routers)
        yield orders


@pytest.fixture(autouse=True)
def no_faults(orders):
    yield
    orders.log.fault(**dict.fromkeys(["delay", "outage", "lose_answers"]))
    orders.worker.fault(
        **dict.fromkeys(["slow", "late", "silent", "drop_answers", "status"])
    )
    for index in range(3):
        orders.await_status(index, fresh_key(), 201)


@pytest.fixture
def key():
    return fresh_key()


def fresh_key(age=0):
    return new_idempotency_key(time.time_ns() // 1_000_000 - age)


def test_same_call_through_all_routers_at_once(orders, key):
    orders.worker.fault(slow=200)
    calls = [orders.start(index % 3, key) for index in range(12)]
    answers = [call.result() for call in calls]
    assert {answer.status for answer in answers} == {201}
    assert len({answer.data for answer in answers}) == 1
    assert orders.count(key) == 1


def test_router_killed_after_sending(orders, key):
    orders.worker.fault(late=2_000)
    call = orders.start(0, key)
    orders.await_count(key)
    orders.routers[0].kill()
    assert call.exception() is not None
    assert orders.refusal(1, key) == ("in_progress", "unknown")
    orders.restart_router(0)
    assert orders.refusal(0, key) == ("in_progress", "unknown")
    assert orders.count(key) == 1


def test_router_killed_between_claim_and_send(orders, key):
    orders.log.fault(delay=LOG_DELAY)
    call = orders.start(0, key)
    time.sleep(1.5 * LOG_DELAY / 1000)
    assert not call.done()
    orders.routers[0].kill()
    assert call.exception() is not None
    orders.log.fault(delay=None)
    assert orders.refusal(1, key) == ("in_progress", "unknown")
    orders.restart_router(0)
    assert orders.count(key) == 0


@pytest.mark.parametrize("pause", [0.0, 6.0])
def test_router_paused_between_claim_and_send(orders, key, pause):
    orders.log.fault(delay=LOG_DELAY)
    call = orders.start(0, key)
    time.sleep(1.5 * LOG_DELAY / 1000)
    orders.routers[0].signal(signal.SIGSTOP)
    assert not call.done()
    try:
        orders.log.fault(delay=None)
        assert orders.refusal(1, key) == ("in_progress", "unknown")
        assert orders.count(key) == 0
        time.sleep(pause)
    finally:
        orders.routers[0].signal(signal.SIGCONT)
    answer = call.result()
    if answer.status != 201:
        assert refusal_of(answer) == ("log_unavailable", "not_run")
        assert orders.count(key) == 0
    orders.await_status(1, key, 201)
    assert orders.count(key) == 1


def test_router_paused_after_sending(orders, key):
    orders.worker.fault(late=500)
    call = orders.start(0, key)
    orders.await_count(key)
    orders.routers[0].signal(signal.SIGSTOP)
    try:
        time.sleep(2)
        assert orders.refusal(1, key) == ("in_progress", "unknown")
    finally:
        orders.routers[0].signal(signal.SIGCONT)
    first = call.result()
    assert first.status == 201
    assert orders.await_status(1, key, 201).data == first.data
    assert orders.count(key) == 1


def test_log_out(orders, key):
    orders.log.fault(outage=True)
    for index in range(3):
        answer = orders.send(index, key)
        assert refusal_of(answer) == ("log_unavailable", "not_run")
        assert int(answer.headers["Retry-After"]) > 0
    assert orders.count(key) == 0
    orders.log.fault(outage=None)
    orders.await_status(1, key, 201)
    assert orders.count(key) == 1


def test_log_out_while_the_call_runs(orders, key):
    orders.worker.fault(slow=1_000)
    call = orders.start(0, key)
    time.sleep(0.5)
    orders.log.fault(outage=True)
    first = call.result()
    assert first.status == 201
    assert orders.refusal(1, key)[0] == "log_unavailable"
    orders.log.fault(outage=None)
    assert orders.await_status(1, key, 201).data == first.data
    assert orders.count(key) == 1


def test_answer_of_the_log_lost(orders, key):
    orders.log.fault(lose_answers=1)
    assert orders.send(0, key).status == 201
    assert orders.send(1, key).headers["Idempotency-Replayed"] == "true"
    assert orders.count(key) == 1


def test_late_answer_is_kept(orders, key):
    orders.worker.fault(late=12_000)
    assert orders.refusal(0, key) == ("upstream_silent", "unknown")
    assert orders.await_status(1, key, 201).headers["Idempotency-Replayed"] == "true"
    assert orders.count(key) == 1


@pytest.mark.parametrize(("fault", "count"), [("crash_before", 0), ("crash_after", 1)])
def test_worker_crashes(orders, key, fault, count):
    orders.worker.fault(**{fault: 1})
    assert orders.refusal(0, key) == ("upstream_failed", "unknown")
    orders.start_worker()
    assert orders.refusal(1, key) == ("outcome_unknown", "unknown")
    assert orders.count(key) == count


def test_no_worker_listens(orders, key):
    orders.worker.kill()
    assert orders.refusal(0, key) == ("no_upstream", "not_run")
    orders.start_worker()
    assert orders.count(key) == 0
    orders.await_status(1, key, 201)
    assert orders.count(key) == 1


def test_repeat_after_the_window(orders):
    old = fresh_key(KEY_VALIDITY_MS + 1_000)
    assert orders.refusal(0, old) == ("idempotency_key_expired", "not_run")
    assert orders.count(old) == 0


def test_graceful_stop_lets_the_call_end(orders, key):
    orders.worker.fault(slow=1_500)
    call = orders.start(2, key)
    time.sleep(0.5)
    assert orders.routers[2].stop() == 0
    assert call.result().status == 201
    orders.worker.fault(slow=None)
    orders.restart_router(2)
    assert orders.send(2, key).headers["Idempotency-Replayed"] == "true"
    assert orders.count(key) == 1


def test_many_calls_with_faults(orders):
    draw = random.Random(7)
    keys = [fresh_key() for _ in range(60)]
    sends = keys * 3
    draw.shuffle(sends)
    orders.worker.fault(slow=20, drop_answers=6)
    orders.log.fault(lose_answers=10)
    calls = [(key, orders.start(draw.randrange(3), key)) for key in sends]
    time.sleep(0.3)
    orders.log.fault(outage=True)
    time.sleep(0.3)
    orders.log.fault(outage=None)
    rans_by_key = {key: set() for key in keys}
    for key, call in calls:
        answer = call.result()
        ran = "ran" if answer.status == 201 else refusal_of(answer)[1]
        rans_by_key[key].add(ran)
    for key, rans in rans_by_key.items():
        assert orders.count(key) <= 1
        if rans == {"not_run"}:
            assert orders.count(key) == 0
        if "ran" in rans:
            assert orders.count(key) == 1
