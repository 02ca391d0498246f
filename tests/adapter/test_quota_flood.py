"""A workspace that was quiet and then floods all routers at once, as processes."""

import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import KEY, make_config, route, tenant
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

WINDOW_S = 8
RATE_PER_S = 20
SLACK_REQUESTS = 12
FLOOD_S = 2.5
CLIENTS = 24


@pytest.mark.parametrize("routers", [2, 4])
def test_quiet_workspace_that_floods_gets_no_more_than_its_quota(tmp_path, routers):
    platform = PlatformFleet(tmp_path, routers, quota_slack=SLACK_REQUESTS)
    try:
        platform.configure(
            make_config(
                routes=[route("read", "/r/", "idempotent", "desk", maxAttempts=2)],
                tenants=[tenant("t1", [KEY], ratePerS=RATE_PER_S, burst=RATE_PER_S)],
            )
        )
        for router in platform.routers:
            wait_until(lambda router=router: router.ask("/r/x", "GET").status == 200)
        time.sleep(WINDOW_S + 2)
        served = flood(platform.routers)
    finally:
        platform.close()
    limit = RATE_PER_S * WINDOW_S + RATE_PER_S
    assert served <= limit * 1.1 + SLACK_REQUESTS
    assert served >= 0.7 * limit


def flood(routers):
    """Return how many requests were served of those that all clients sent."""
    numbers = count()
    end = time.monotonic() + FLOOD_S

    def send(index):
        router = routers[index % len(routers)]
        served = 0
        while time.monotonic() < end:
            served += router.ask("/r/x", "GET", id=f"f{next(numbers)}").status == 200
        return served

    with ThreadPoolExecutor(CLIENTS) as pool:
        return sum(pool.map(send, range(CLIENTS)))
