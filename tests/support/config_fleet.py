"""Routers without upstreams, with an inventory in force."""

import time

from benchmarks.demo import wait_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    OPERATOR_KEY,
    Topology,
)

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
ROUTERS = 6
TIMEOUT = 30.0  # s


class ConfigFleet(Topology):
    """Routers without upstreams, with an inventory in force."""

    def __init__(self, routers=ROUTERS):
        super().__init__(routers, 0, settings={"drain_delay": 50}, services=False)

    def __enter__(self):
        super().__enter__()
        self.offset = poll(lambda: self.apply(-1))
        wait_ready(self.routers)
        return self

    @property
    def routers(self):
        return list(self.routers_by_id.values())

    def apply(self, base, rate=100, router=None):
        inventory = self.inventory()
        inventory["workspaces"][0]["rate"] = rate
        path = f"/admin/inventory?base={base}"
        answer = admin(router or self.routers[0], "POST", path, json=inventory)
        return answer.json()["offset"] if answer.status == 200 else None


def admin(router, method, path, key=OPERATOR_KEY, **options):
    headers = {"Authorization": f"Bearer {key}"}
    return router.request(method, path, headers=headers, **options)


def poll(condition, timeout=TIMEOUT):
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value is not None and value is not False:
            return value
        assert time.monotonic() < deadline, "the condition did not come true"
        time.sleep(0.02)


def offset_of(router):
    return admin(router, "GET", "/admin/status").json()["router"]["offset"]


def rate_of(router):
    answer = admin(router, "GET", "/admin/configuration").json()
    return answer["inventory"]["workspaces"][0]["rate"]


def status_of(router, key=KEY):
    headers = {"Authorization": f"Bearer {key}"}
    return router.request("GET", "/v1/models", headers=headers).status


def restart_all_but_first(fleet):
    for id_ in fleet.router_ids[1:]:
        fleet.routers_by_id[id_].kill()
    for id_ in fleet.router_ids[1:]:
        fleet.start_router(id_)
