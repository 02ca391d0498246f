"""Streams while workers start again under their ids with another software version.

The routers are processes of their own. The store does not wake their reads, so they
learn of a restart some hundred ms later.
"""

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
    routes_of,
)
from tests.adapter.versioned_workers import EVENT_COUNT, begin_stream, take_up

# Each case has a service, as a router remembers versions that were there.
SERVICE_NAMES = [f"restarted-{number}" for number in range(8)]


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=2)
    routes = [each for name in SERVICE_NAMES for each in routes_of(name)]
    services = [{"name": name} for name in SERVICE_NAMES]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def names():
    return iter(SERVICE_NAMES)


@pytest.fixture
def service(platform, names):
    service = VersionedService(platform, next(names))
    yield service
    platform.store.set_faults(unwoken=None)
    service.remove(*service.workers)


def restart(worker, version):
    """Let `worker` be back at once with another version, its entry too."""
    worker.end()
    worker.version = version
    worker.cut_after = CUT_AFTER
    worker.go_on.clear()
    worker.start_again(version=version, born=2)


def warm_up(router, service):
    """Serve streams until the first worker has had one."""
    while not service.workers[0].runs:
        assert begin_stream(router, service.failover_path)[1].is_complete


# The event of a restarted upstream must not count as one of the version before.
@pytest.mark.parametrize("zones", ["ab", "aa"])
def test_stream_of_a_restarted_worker_does_not_go_on_at_its_earlier_version(
    platform, service, zones
):
    router = platform.routers[0]
    restarted, other = [service.start(OLD, zone=zone) for zone in zones]
    warm_up(router, service)
    platform.store.set_faults(unwoken=True)
    runs = len(restarted.runs)
    restart(restarted, NEW)
    answers = []

    def ask():
        answers.append(begin_stream(router, service.failover_path)[1])

    clients = [Thread(target=ask) for _ in range(4)]
    for client in clients:
        client.start()
    wait_until(lambda: len(restarted.runs) + len(other.runs) > runs)
    restarted.go_on.set()
    restarted.end()
    for client in clients:
        client.join()
    assert all(len(answer.versions) == 1 for answer in answers)
    complete = [answer for answer in answers if answer.is_complete]
    assert all(len(answer.events) == EVENT_COUNT for answer in complete)


# A stream must not be taken up at an upstream that was restarted with another version.
@pytest.mark.parametrize("router_number", [0, 1])
def test_stream_is_not_taken_up_at_a_worker_that_was_restarted(
    platform, service, router_number
):
    first, second = platform.routers
    beginner = service.start(OLD, cut_after=CUT_AFTER, zone="b")
    id, answer = begin_stream(first, service.path)
    assert len(answer.events) == CUT_AFTER
    restarted = service.start(OLD, zone="a")
    platform.store.set_faults(unwoken=True)
    beginner.end()
    restart(restarted, NEW)
    restarted.cut_after = None
    router = platform.routers[router_number]
    answer = take_up(router, service.path, CUT_AFTER, id)
    assert answer.versions <= {OLD}
    assert not answer.events or answer.ids == REST
