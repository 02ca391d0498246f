"""Bytes that no run made must not reach the client of a stream (ORDER).

The router is a process of its own; the workers are stand-ins.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.garbled_streams import (
    GARBAGE_BY_NAME,
    Case,
    cases_of,
    fault_of,
    make_responder,
    read_answer,
)
from tests.adapter.raw_workers import RawWorker
from tests.adapter.test_field_faults import has_log_line

PATH_BY_ROUTE = {"resumable": "/resumable/", "single": "/single/"}
READY_TIMEOUT_S = 10
MAX_CONCURRENT_CASES = 40
SPLIT_GARBAGE = b"event: error\r\ndata: junk\r\n\r\n"
RUNS = count()


@pytest.fixture(scope="module")
def garbled_ids():
    return set()


@pytest.fixture(scope="module")
def platform(tmp_path_factory, garbled_ids):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=1)
    routes = [
        route(name, path, "streaming", name, maxAttempts=2)
        for name, path in PATH_BY_ROUTE.items()
    ]
    routes[0]["canResume"] = True
    services = [{"name": name} for name in PATH_BY_ROUTE]
    fleet.configure(make_config(routes=routes, services=services))
    workers = [
        RawWorker(fleet, f"{name}-{number}", name, make_responder(garbled_ids))
        for name in PATH_BY_ROUTE
        for number in range(2)
    ]
    for worker in workers:
        wait_until(
            lambda: has_log_line(fleet.routers[0], "upstream known", worker.id)  # noqa: B023
        )
    try:
        yield fleet
    finally:
        for worker in workers:
            worker.close()
        fleet.close()


def ask(platform, route_name, case):
    """Return the Answer to a garbled stream, which a worker began."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        id = case.attempt_id(f"{route_name}{next(RUNS)}")
        front = platform.routers[0].front
        answer = read_answer(front, f"{PATH_BY_ROUTE[route_name]}{id}", id)
        if answer.status != 503:
            return answer
        assert time.monotonic() < deadline
        time.sleep(0.05)


def find_faults(platform, cases):
    """Return what is wrong with the answers to `cases`, by route and case."""
    tasks = [(route_name, case) for route_name in PATH_BY_ROUTE for case in cases]
    with ThreadPoolExecutor(MAX_CONCURRENT_CASES) as executor:
        answers = executor.map(lambda task: ask(platform, *task), tasks)
    return {
        task: fault
        for task, answer in zip(tasks, answers)
        if (fault := fault_of(answer, task[0] == "resumable"))
    }


@pytest.mark.parametrize("garbage", GARBAGE_BY_NAME)
def test_bytes_that_no_run_made_do_not_reach_the_client(platform, garbage):
    assert find_faults(platform, cases_of(garbage)) == {}


def test_garbage_does_not_reach_the_client_wherever_it_is_split(platform, monkeypatch):
    monkeypatch.setitem(GARBAGE_BY_NAME, "split", SPLIT_GARBAGE)
    cuts = range(1, len(SPLIT_GARBAGE))
    cases = [Case("split", "inside", "chunked", "goes_on", cut) for cut in cuts]
    assert find_faults(platform, cases) == {}
