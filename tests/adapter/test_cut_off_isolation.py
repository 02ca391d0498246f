"""Scopes at a router that is cut off while a workspace is made isolated.

Two routers are processes that do not know each other: the second one starts when the
first one is cut off. The workers are stand-ins that return the salt.
"""

import time
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import KEY, make_config, tenant
from mulberryhub.adapter_standins.fleet import (
    PlatformFleet,
    RouterProcess,
    wait_until,
)
from tests.adapter.store_link import StoreLink

OTHER_KEY = "key-2"
NAME_BY_KEY = {KEY: "t1", OTHER_KEY: "t2"}
ADOPTION_TIMEOUT_S = 2.0  # since the store acknowledged the operator's write
CONTACT_TIME_S = 3.0  # after which a router that was cut off is judged
IDS = count()
VERSIONS = count(2)


class CutOffPlatform:
    """A router before a link to the store, and one that starts later."""

    def __init__(self, folder):
        self.fleet = PlatformFleet(folder, routers=0)
        self.link = StoreLink(self.fleet.store.address)
        self.cut_off = RouterProcess("r0", "a", self.link.address, folder)
        self.fleet.routers.append(self.cut_off)
        self.adopt([])
        self.fleet.configure(make_config(next(VERSIONS), tenants=self.tenants([])))

    def tenants(self, isolated):
        return [
            tenant(name, [key], isolated=name in isolated)
            for key, name in NAME_BY_KEY.items()
        ]

    def adopt(self, isolated):
        """Let the operator isolate the workspaces `isolated`, and no others."""
        config = make_config(next(VERSIONS), tenants=self.tenants(isolated))
        self.fleet.write("config", config)
        time.sleep(ADOPTION_TIMEOUT_S)

    def start_other(self):
        """Start a router that reads the store; return it when it is ready."""
        self.fleet.routers.append(self.fleet.start_router(1))
        other = self.fleet.routers[1]
        wait_until(other.is_ready)
        return other

    def salts(self, router):
        """Return the salts of both workspaces in the order of NAME_BY_KEY."""
        return [self.salt(router, key) for key in NAME_BY_KEY]

    def salt(self, router, key):
        answers = []

        def is_served():
            answers.append(router.ask_model(id=f"id-{next(IDS)}", key=key))
            return answers[-1].status == 200

        wait_until(is_served)
        return answers[-1].headers["X-Salt-Seen"]

    def close(self):
        self.fleet.close()
        self.link.close()


@pytest.fixture
def platform(tmp_path):
    platform = CutOffPlatform(tmp_path)
    yield platform
    platform.close()


# What the cut-off router's requests leave in caches is in a scope that no request uses
# under the new configuration, whichever workspace is isolated, and for how long.
@pytest.mark.parametrize("isolated", [["t1"], ["t2"], ["t1", "t2"]])
def test_parts_of_a_cut_off_router_are_not_used_by_those_that_isolate(
    platform, isolated
):
    shared = platform.salts(platform.cut_off)
    assert len(set(shared)) == 1
    platform.link.cut()
    platform.adopt(isolated)
    isolating = platform.salts(platform.start_other())
    assert platform.salts(platform.cut_off) == shared
    assert len({shared[0], *isolating}) == 3
    platform.link.heal()
    time.sleep(CONTACT_TIME_S)
    for _ in range(5):
        assert platform.salts(platform.cut_off) == isolating


# It must not take up a scope of the past either where the change was taken back and
# made again while it was cut off.
def test_router_cut_off_over_several_changes_uses_the_last_scopes(platform):
    platform.adopt(["t1"])
    first = platform.salts(platform.cut_off)
    platform.link.cut()
    platform.adopt([])
    other = platform.start_other()
    shared = platform.salts(other)
    assert not set(shared) & set(first)
    platform.adopt(["t1", "t2"])
    last = platform.salts(other)
    assert platform.salts(platform.cut_off) == first
    platform.link.heal()
    time.sleep(CONTACT_TIME_S)
    assert platform.salts(platform.cut_off) == last == platform.salts(other)
    assert last[1] not in first


# A restart while it is cut off must not let it serve on what it knew before.
def test_router_restarted_while_cut_off_serves_no_scope_before_it_reads(platform):
    platform.link.cut()
    platform.adopt(["t1"])
    platform.cut_off.popen.kill()
    platform.cut_off.popen.wait()
    platform.cut_off.start()
    end = time.monotonic() + ADOPTION_TIMEOUT_S
    while time.monotonic() < end:
        assert not platform.cut_off.is_ready()
        time.sleep(0.1)
    platform.link.heal()
    wait_until(platform.cut_off.is_ready)
    assert len(set(platform.salts(platform.cut_off))) == 2
