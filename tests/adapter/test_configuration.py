"""Time until all routers adopt a configuration, despite faults of store and routers."""

import time

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

ADOPTION_TIMEOUT_S = 2.0  # since the store acknowledged the operator's write
RECOVERY_TIME_S = 3.0  # the bound applies this long after a disruption


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=4)
    try:
        fleet.configure()
        yield fleet
    finally:
        fleet.close()


def make_config_with_route(version):
    """Return a configuration with an additional route for the path /VERSION/."""
    config = make_config(version)
    config["routes"].append(route("added", f"/{version}/", "idempotent", "desk"))
    return config


def find_late_routers(platform, version):
    """Write a configuration; return the routers that do not apply it in time."""
    platform.write("config", make_config_with_route(version))
    time.sleep(ADOPTION_TIMEOUT_S)
    return [
        router.name
        for router in platform.routers
        if router.ask(f"/{version}/x", "GET", id=f"{router.name}-{version}").status
        != 200
    ]


def test_change_is_adopted_in_time_after_store_hangs_reads(platform):
    platform.store.set_faults(hang=True)
    # Ends the long polls in progress.
    platform.write("config", make_config_with_route(2))
    time.sleep(1)
    platform.store.set_faults(hang=None)
    time.sleep(RECOVERY_TIME_S)
    assert find_late_routers(platform, 3) == []


def test_change_is_adopted_in_time_if_store_does_not_wake_reads(platform):
    platform.store.set_faults(unwoken=True)
    # Still wakes the long polls in progress.
    platform.write("config", make_config_with_route(2))
    time.sleep(1)
    assert find_late_routers(platform, 3) == []


def test_change_is_adopted_in_time_after_reader_is_killed(platform):
    first, *others = platform.routers
    wait_until(lambda: all(router.is_ready() for router in others))
    first.popen.kill()
    first.popen.wait()
    platform.routers.remove(first)
    assert find_late_routers(platform, 2) == []
