import time

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

IN_FORCE_TIME = 2.0  # s after the store's answer to the operator
CALM_TIME = 3.0  # s without a disruption from which on the bound holds


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=4)
    try:
        fleet.configure()
        yield fleet
    finally:
        fleet.close()


def added_route(version):
    """Return a configuration with one more route, at the path /VERSION/."""
    config = make_config(version)
    config["routes"].append(route("added", f"/{version}/", "idempotent", "desk"))
    return config


def late_routers(platform, version):
    """Write a configuration; return the routers that do not serve it in time."""
    platform.write("config", added_route(version))
    time.sleep(IN_FORCE_TIME)
    return [
        router.name
        for router in platform.routers
        if router.ask(f"/{version}/x", "GET", id=f"{router.name}-{version}").status
        != 200
    ]


def test_a_change_is_in_force_in_time_though_the_store_swallowed_reads(platform):
    platform.store.fault(hang=True)
    platform.write("config", added_route(2))  # The reads that wait now end.
    time.sleep(1)
    platform.store.fault(hang=None)
    time.sleep(CALM_TIME)
    assert late_routers(platform, 3) == []


def test_a_change_is_in_force_in_time_though_the_store_wakes_no_read(platform):
    platform.store.fault(unwoken=True)
    platform.write("config", added_route(2))  # The reads that wait now are woken.
    time.sleep(1)
    assert late_routers(platform, 3) == []


def test_a_change_is_in_force_in_time_after_the_reader_is_killed(platform):
    first, *others = platform.routers
    wait_until(lambda: all(router.is_ready() for router in others))
    first.popen.kill()
    first.popen.wait()
    platform.routers.remove(first)
    assert late_routers(platform, 2) == []
