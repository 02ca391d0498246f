"""Streams while upstreams of two software versions serve side by side.

The routers are processes of their own; the workers are stand-ins. Those that would be
wrong are in the router's own zone, so a router without a rule sends streams to them.
"""

import time
from threading import Thread

import pytest

from mulberryhub.adapter_standins.documents import make_config
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.versioned_services import (
    CUT_AFTER,
    NEW,
    OLD,
    REST,
    VersionedService,
    assert_refused_at_once,
    begin_and_break_off,
    break_off_in_answer,
    routes_of,
)
from tests.adapter.versioned_workers import (
    ask_stream,
    begin_stream,
    known_count,
    take_up,
)

SERVICE_COUNT = 48  # each test has one, as a router remembers versions that were there
FIRST_STREAM_TIME_S = 5.0  # until streams begin on a version new in service
NEVER_BEGUN = "never-begun"
UNUSABLE_RESUMES = {
    "missing": [],
    "empty": [""],
    "twice": ["FIRST", "FIRST"],
    "malformed": ["FIRST, other"],
    "no_ascii": ["\xe9\xe9"],
    "long": ["9" * 5_000],
    "never_begun": [NEVER_BEGUN],
}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=2)
    routes = [
        each for number in range(SERVICE_COUNT) for each in routes_of(f"s{number}")
    ]
    services = [{"name": f"s{number}"} for number in range(SERVICE_COUNT)]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def service(platform):
    service = VersionedService(platform)
    yield service
    service.remove(*service.workers)


@pytest.fixture
def router(platform):
    return platform.routers[0]


@pytest.fixture
def other_router(platform):
    return platform.routers[1]


def test_failover_in_an_answer_does_not_join_two_software_versions(service, router):
    answer = break_off_in_answer(service, router, lambda: service.start(NEW))
    assert answer.versions == {OLD}
    assert not answer.is_complete


def test_failover_in_an_answer_goes_on_at_the_same_software_version(service, router):
    def start_others():
        service.start(NEW, zone="a")
        service.start(OLD, zone="b")

    answer = break_off_in_answer(service, router, start_others)
    assert answer.versions == {OLD}
    assert answer.is_complete


def test_stream_without_an_event_may_begin_at_another_software_version(service, router):
    answer = None
    first = service.start(OLD, cut_after=0, zone="a")
    second = service.start(NEW, zone="b")
    while not (first.runs and second.runs):
        _, answer = begin_stream(router, service.failover_path)
    assert answer.versions == {NEW}
    assert answer.is_complete


def test_stream_is_taken_up_at_its_software_version(service, router):
    id, _ = begin_and_break_off(service, router)
    service.start(NEW, zone="a")
    service.start(OLD, zone="b")
    answer = take_up(router, service.path, CUT_AFTER, id)
    assert (answer.versions, answer.ids) == ({OLD}, REST)


def test_stream_taken_up_is_refused_if_its_software_version_is_gone(service, router):
    id, worker = begin_and_break_off(service, router)
    service.start(NEW)
    service.remove(worker)
    assert_refused_at_once(take_up(router, service.path, CUT_AFTER, id))
    assert service.runs() == 0
    answer = begin_stream(router, service.path)[1]
    assert (answer.versions, answer.is_complete) == ({NEW}, True)


def test_stream_is_taken_up_at_a_software_version_that_is_back(service, router):
    id, worker = begin_and_break_off(service, router)
    service.start(NEW, zone="a")
    service.remove(worker)
    service.start(OLD, zone="b")
    answer = take_up(router, service.path, CUT_AFTER, id)
    assert (answer.versions, answer.ids) == ({OLD}, REST)


def test_stream_is_not_taken_up_at_a_worker_whose_entry_changed_its_version(
    service, router
):
    id, worker = begin_and_break_off(service, router)
    runs = service.runs()
    worker.version = NEW
    worker.write_again(version=NEW, born=2)
    wait_until(lambda: known_count(router, worker) == 2)
    assert_refused_at_once(take_up(router, service.path, CUT_AFTER, id))
    assert service.runs() == runs


def test_stream_is_broken_off_if_its_worker_changed_its_version_before_an_event(
    service, router
):
    id, worker = begin_and_break_off(service, router)
    worker.may_send.clear()
    runs = len(worker.runs)
    answers = []

    def ask():
        answers.append(take_up(router, service.path, CUT_AFTER, id))

    client = Thread(target=ask)
    client.start()
    wait_until(lambda: len(worker.runs) > runs)
    worker.version = NEW
    worker.write_again(version=NEW, born=2)
    wait_until(lambda: known_count(router, worker) == 2)
    worker.may_send.set()
    client.join()
    assert (answers[0].events, answers[0].is_complete) == ([], False)


def test_another_router_does_not_join_two_software_versions(
    service, router, other_router
):
    id, worker = begin_and_break_off(service, router)
    service.start(NEW)
    service.remove(worker)
    assert_refused_at_once(take_up(other_router, service.path, CUT_AFTER, id))
    assert service.runs() == 0


def test_stream_is_taken_up_at_another_router_at_its_software_version(
    service, router, other_router
):
    id, _ = begin_and_break_off(service, router, zone="a")
    service.start(NEW, zone="b")
    service.start(OLD, zone="a")
    answer = take_up(other_router, service.path, CUT_AFTER, id)
    assert (answer.versions, answer.ids) == ({OLD}, REST)


def test_second_take_up_that_names_the_first_attempt_is_not_joined(service, router):
    id, first = begin_and_break_off(service, router)
    second = service.start(OLD, cut_after=CUT_AFTER + 1, zone="b")
    service.remove(first)
    answer = take_up(router, service.path, CUT_AFTER, id)
    assert answer.events == [(CUT_AFTER + 1, OLD)]
    service.start(NEW, zone="a")
    service.start(OLD, zone="b")
    answer = take_up(router, service.path, CUT_AFTER + 1, id)
    assert (answer.versions, answer.ids) == ({OLD}, REST[1:])
    assert second.runs


@pytest.mark.parametrize("case", UNUSABLE_RESUMES)
def test_take_up_of_an_unknown_stream_is_refused_beside_two_versions(
    service, router, case
):
    id, _ = begin_and_break_off(service, router)
    service.start(NEW)
    runs = service.runs()
    resumes = [value.replace("FIRST", id) for value in UNUSABLE_RESUMES[case]]
    assert_refused_at_once(take_up(router, service.path, CUT_AFTER, *resumes))
    assert service.runs() == runs


@pytest.mark.parametrize("case", UNUSABLE_RESUMES)
def test_take_up_of_an_unknown_stream_goes_on_with_one_software_version(
    service, router, other_router, case
):
    id, _ = begin_and_break_off(service, router)
    resumes = [value.replace("FIRST", id) for value in UNUSABLE_RESUMES[case]]
    for each in (router, other_router):
        answer = take_up(each, service.path, CUT_AFTER, *resumes)
        assert (answer.versions, answer.ids) == ({OLD}, REST)


def test_stream_is_taken_up_anywhere_with_one_software_version(
    service, router, other_router
):
    id, _ = begin_and_break_off(service, router)
    for each in (router, other_router):
        answer = take_up(each, service.path, CUT_AFTER, id)
        assert (answer.versions, answer.ids) == ({OLD}, REST)


def test_upstream_gets_the_resumed_attempt_as_the_client_sent_it(service, router):
    id, worker = begin_and_break_off(service, router)
    take_up(router, service.path, CUT_AFTER, id)
    assert worker.requests_by_id[worker.runs[-1]].resumes == id


@pytest.mark.parametrize("version", [None, True, ["4.1"], {"major": 4}])
def test_unknown_software_version_is_one_of_its_own(service, router, version):
    id, worker = begin_and_break_off(service, router)
    service.start(version)
    service.remove(worker)
    assert_refused_at_once(take_up(router, service.path, CUT_AFTER, id))
    assert service.runs() == 0


def test_new_streams_begin_at_both_software_versions(service, router):
    service.start(OLD, zone="a")
    service.start(NEW, zone="a")
    versions = set()
    deadline = time.monotonic() + FIRST_STREAM_TIME_S
    while len(versions) < 2 and time.monotonic() < deadline:
        versions |= begin_stream(router, service.path)[1].versions
    assert versions == {OLD, NEW}


def test_request_that_is_no_take_up_ignores_the_attempt_it_names(service, router):
    service.start(OLD)
    service.start(NEW)
    answer = ask_stream(router, service.path, "plain", [("Resumes", NEVER_BEGUN)])
    assert (answer.status, answer.is_complete) == (200, True)
