"""Keys that are taken away, down to the last one of all workspaces.

The routers are processes of their own.
"""

import signal
import time
from itertools import count

import pytest
import urllib3

from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    make_config,
    route,
    tenant,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

OTHER_KEY = "key-2"
NEVER_HELD_KEY = "key-0"
KEYS = [KEY, OTHER_KEY, NEVER_HELD_KEY, None]
ADOPTION_TIMEOUT_S = 2.0  # since the store acknowledged the operator's write
RECOVERY_TIME_S = 3.0  # the bound applies this long after a disruption
VERSIONS = count(2)
IDS = count()

HELD_KEYS = [tenant("t1", [KEY]), tenant("t2", [OTHER_KEY])]
NO_KEYS = [tenant("t1", []), tenant("t2", [])]
NO_WORKSPACES = []
NO_LIST = None


def write(platform, tenants):
    routes = [
        route("read", "/r/", "idempotent", "desk"),
        route("order", "/o/", "non_idempotent", "desk"),
        route("model", "/s/", "streaming", "llm"),
        route("open", "/open/", "idempotent", "desk", public=True),
    ]
    config = make_config(next(VERSIONS), routes=routes, tenants=tenants)
    platform.write("config", config)


def ask(router, path="/r/x", method="GET", key=KEY):
    return router.ask(path, method, key, id=f"id-{next(IDS)}").status


def statuses(router):
    """Return the statuses of requests with all KEYS to all routes that need a key."""
    requests = [("/r/x", "GET"), ("/o/x", "POST"), ("/s/x", "POST")]
    return {ask(router, *request, key) for request in requests for key in KEYS}


def adopt(platform, tenants):
    write(platform, tenants)
    time.sleep(ADOPTION_TIMEOUT_S)


def serve(platform):
    write(platform, HELD_KEYS)
    for router in platform.routers:
        wait_until(lambda: ask(router) == 200)  # noqa: B023
        assert ask(router, key=NEVER_HELD_KEY) == 401


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"))
    try:
        fleet.configure()
        yield fleet
    finally:
        fleet.close()


# Without any key left, a router must not take all requests for ones that need none.
@pytest.mark.parametrize("tenants", [NO_KEYS, NO_WORKSPACES])
def test_first_configuration_without_any_key_admits_nothing(tmp_path, tenants):
    platform = PlatformFleet(tmp_path, routers=1)
    try:
        write(platform, tenants)
        wait_until(platform.routers[0].is_ready)
        assert statuses(platform.routers[0]) == {401}
    finally:
        platform.close()


# The same where the keys go later, and come back.
@pytest.mark.parametrize("tenants", [NO_KEYS, NO_WORKSPACES])
def test_no_request_is_admitted_after_the_last_key_was_taken_away(platform, tenants):
    serve(platform)
    for _ in range(2):
        adopt(platform, tenants)
        for router in platform.routers:
            assert statuses(router) == {401}
            assert ask(router, "/open/x", key=None) == 200
        adopt(platform, HELD_KEYS)
        for router in platform.routers:
            assert ask(router) == ask(router, key=OTHER_KEY) == 200
            assert ask(router, key=NEVER_HELD_KEY) == 401


# The same in two steps, on a connection that is kept over both.
def test_kept_connection_is_refused_after_the_last_key_was_taken_away(platform):
    serve(platform)
    url = f"http://{platform.routers[0].front}/r/x"

    def ask_kept(pool):
        headers = call_headers(f"id-{next(IDS)}", OTHER_KEY)
        return pool.request("GET", url, headers=headers, retries=False).status

    with urllib3.PoolManager(maxsize=1) as pool:
        assert ask_kept(pool) == 200
        adopt(platform, [tenant("t1", []), tenant("t2", [OTHER_KEY])])
        assert ask_kept(pool) == 200
        adopt(platform, NO_KEYS)
        assert ask_kept(pool) == 401
        assert pool.connection_from_url(url).num_connections == 1


# The same at routers that start again, and at one that stood still meanwhile.
def test_restarted_and_paused_routers_admit_nothing_without_a_key(platform):
    serve(platform)
    first, second = platform.routers
    second.popen.send_signal(signal.SIGSTOP)
    try:
        adopt(platform, NO_KEYS)
    finally:
        second.popen.send_signal(signal.SIGCONT)
    time.sleep(RECOVERY_TIME_S)
    assert statuses(second) == {401}
    for router in platform.routers:
        router.popen.kill()
        router.popen.wait()
        router.start()
    for router in platform.routers:
        wait_until(router.is_ready)
        assert statuses(router) == {401}


def test_configuration_without_a_list_of_workspaces_needs_no_keys(platform):
    serve(platform)
    adopt(platform, NO_LIST)
    for router in platform.routers:
        assert statuses(router) <= {200, 503}
        assert ask(router) == ask(router, key=None) == 200
