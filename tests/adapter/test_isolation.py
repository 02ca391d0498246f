"""Scopes of cached prompt parts while workspaces are made isolated, and back.

The routers are processes of their own; the workers are stand-ins that return the salt.
"""

import time
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import KEY, make_config, tenant
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

OTHER_KEY = "key-2"
ADOPTION_TIMEOUT_S = 2.0  # since the store acknowledged the operator's write
IDS = count()
VERSIONS = count(2)


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path)
    try:
        fleet.configure()
        yield fleet
    finally:
        fleet.close()


def adopt(platform, isolated, sharing=("t1", "t2")):
    keys_by_name = {"t1": [KEY], "t2": [OTHER_KEY]}
    tenants = [
        tenant(name, keys_by_name[name], isolated=name in isolated)
        for name in (*sharing, *isolated)
    ]
    platform.write("config", make_config(next(VERSIONS), tenants=tenants))
    time.sleep(ADOPTION_TIMEOUT_S)


def salt(platform, key):
    """Return the salt of requests with `key`, which all routers must agree on."""
    salts = set()
    for router in platform.routers:
        id = f"id-{next(IDS)}"

        def ask():
            return router.ask_model(id=id, key=key)  # noqa: B023

        wait_until(lambda: ask().status == 200)  # noqa: B023
        salts.add(ask().headers["X-Salt-Seen"])
    assert len(salts) == 1
    return salts.pop()


# What a workspace cached before it was made isolated must not be used by another one.
def test_parts_cached_before_a_workspace_was_isolated_are_not_shared(platform):
    used_by_first = set()
    for isolated in ([], ["t1"], [], ["t1"], ["t1", "t2"]):
        adopt(
            platform, isolated, [name for name in ("t1", "t2") if name not in isolated]
        )
        first, second = salt(platform, KEY), salt(platform, OTHER_KEY)
        if isolated:
            assert second not in used_by_first | {first}
        else:
            assert first == second
        used_by_first.add(first)


# The same where the workspace is taken away in between, and after a restart of all.
def test_parts_of_a_workspace_that_comes_back_isolated_are_not_shared(platform):
    adopt(platform, [])
    shared = salt(platform, KEY)
    adopt(platform, [], ["t2"])
    assert salt(platform, OTHER_KEY) == shared
    adopt(platform, ["t1"], ["t2"])
    salts = [salt(platform, key) for key in (KEY, OTHER_KEY)]
    assert len({shared, *salts}) == 3
    for router in platform.routers:
        router.popen.kill()
        router.popen.wait()
        router.start()
    for router in platform.routers:
        wait_until(router.is_ready)
    assert [salt(platform, key) for key in (KEY, OTHER_KEY)] == salts
