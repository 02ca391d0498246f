"""Router processes for configuration tests, and calls of their admin API."""

import time

from benchmarks.demo import wait_until_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    OPERATOR_KEY,
    LocalFleet,
)

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
ROUTER_COUNT = 6
TIMEOUT_S = 30.0


class ConfigFleet(LocalFleet):
    """Routers without upstreams, with an inventory applied.

    `offset` is the offset of that inventory in the configuration log.
    """

    def __init__(self, routers=ROUTER_COUNT):
        super().__init__(routers, 0, settings={"drain_delay": 50}, services=False)

    def __enter__(self):
        super().__enter__()
        self.offset = poll(lambda: self.apply(-1))
        wait_until_ready(self.routers)
        return self

    @property
    def routers(self):
        return list(self.routers_by_id.values())

    def apply(self, base, rate=100, router=None):
        """Set the rate of the first workspace; return the new offset or None."""
        inventory = self.inventory()
        inventory["workspaces"][0]["rate"] = rate
        path = f"/admin/inventory?base={base}"
        response = admin(router or self.routers[0], "POST", path, json=inventory)
        return response.json()["offset"] if response.status == 200 else None


def admin(router, method, path, key=OPERATOR_KEY, **options):
    headers = {"Authorization": f"Bearer {key}"}
    return router.request(method, path, headers=headers, **options)


def poll(condition, timeout=TIMEOUT_S):
    """Return the first value of `condition()` other than None and False."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value is not None and value is not False:
            return value
        assert time.monotonic() < deadline, "the condition did not come true"
        time.sleep(0.02)


def config_offset_of(router):
    return admin(router, "GET", "/admin/status").json()["router"]["offset"]


def rate_of(router):
    response = admin(router, "GET", "/admin/configuration").json()
    return response["inventory"]["workspaces"][0]["rate"]


def status_of(router, key=KEY):
    """Return the HTTP status of a client request made with `key`."""
    headers = {"Authorization": f"Bearer {key}"}
    return router.request("GET", "/v1/models", headers=headers).status


def restart_all_but_first(fleet):
    for id_ in fleet.router_ids[1:]:
        fleet.routers_by_id[id_].kill()
    for id_ in fleet.router_ids[1:]:
        fleet.start_router(id_)
