"""Streams while upstreams of two software versions serve side by side.

The routers are processes of their own; the workers are stand-ins. Those that would be
wrong are in the router's own zone, so a router without a rule sends streams to them.
"""

from itertools import count
from threading import Thread

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.versioned_workers import (
    EVENT_COUNT,
    VersionedWorker,
    ask_stream,
    begin_stream,
    known_count,
    take_up,
    wait_until_gone,
    wait_until_known,
)

OLD, NEW = "4.1", "4.2"
SERVICE_COUNT = 48  # each test has one, as a router remembers versions that were there
CUT_AFTER = 3
REST = list(range(CUT_AFTER + 1, EVENT_COUNT + 1))
MAX_REFUSAL_S = 1.0
NEVER_BEGUN = "never-begun"
NAMES = count()
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
    routes = []
    for number in range(SERVICE_COUNT):
        for kind, attempts in (("once", 1), ("twice", 2)):
            routes.append(
                route(
                    f"{kind}-{number}",
                    f"/{kind}/s{number}/",
                    "streaming",
                    f"s{number}",
                    maxAttempts=attempts,
                    canResume=True,
                )
            )
    services = [{"name": f"s{number}"} for number in range(SERVICE_COUNT)]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


class VersionedService:
    """A service without workers at first.

    `path` is that of requests that go to one worker at most, `failover_path` that of
    requests which may go to two.
    """

    def __init__(self, platform):
        self.name = f"s{next(NAMES)}"
        self.path = f"/once/{self.name}/x"
        self.failover_path = f"/twice/{self.name}/x"
        self.workers = []
        self._platform = platform

    def start(self, version, **more):
        """Start a worker that all routers know."""
        worker = VersionedWorker(self._platform, self.name, version, **more)
        self.workers.append(worker)
        wait_until_known(self._platform, worker)
        return worker

    def remove(self, *workers):
        """Remove the entries of `workers`."""
        for worker in workers:
            worker.close()
            self.workers.remove(worker)
        wait_until_gone(self._platform, *workers)

    def runs(self):
        """Return the number of requests that arrived at the workers."""
        return sum(len(worker.runs) for worker in self.workers)


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


def begin_and_break_off(service, router, zone="b"):
    """Begin a stream at the old version; return the attempt's id and the worker."""
    worker = service.start(OLD, cut_after=CUT_AFTER, zone=zone)
    id, answer = begin_stream(router, service.path)
    assert answer.versions == {OLD}
    assert (len(answer.events), answer.is_complete) == (CUT_AFTER, False)
    return id, worker


def assert_refused_at_once(answer):
    assert answer.status == 503
    assert answer.events == []
    assert 0 < answer.retry_after <= MAX_REFUSAL_S
    assert answer.took_s < MAX_REFUSAL_S


def break_off_in_answer(service, router, start_others):
    """Return the StreamAnswer of a stream whose first worker breaks off midway."""
    first = service.start(OLD, cut_after=CUT_AFTER, waits=True)
    answers = []

    def ask():
        answers.append(begin_stream(router, service.failover_path)[1])

    client = Thread(target=ask)
    client.start()
    wait_until(lambda: first.runs)
    start_others()
    first.go_on.set()
    client.join()
    return answers[0]


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
    for _ in range(60):
        versions |= begin_stream(router, service.path)[1].versions
        if len(versions) == 2:
            break
    assert versions == {OLD, NEW}


def test_request_that_is_no_take_up_ignores_the_attempt_it_names(service, router):
    service.start(OLD)
    service.start(NEW)
    answer = ask_stream(router, service.path, "plain", [("Resumes", NEVER_BEGUN)])
    assert (answer.status, answer.is_complete) == (200, True)
