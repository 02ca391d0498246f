"""Six routers enforce a workspace's rate limit while clients send several times it."""

import time
from concurrent.futures import ThreadPoolExecutor
from itertools import cycle

import pytest
import urllib3

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, LocalFleet

RATE_TOKENS_PER_S = 2_000
BURST_TOKENS = 3_000
OVERLOAD_FACTOR = 3
WORD_COUNT = 190
OUTPUT_TOKEN_COUNT = 10
TYPICAL_COST_TOKENS = 200
DURATION_S = 12.0
MIN_UTILIZATION = 0.7
ENGINE_OPTIONS = ("--prefill-cost", "0", "--token-time", "1", "--slots", "64")
HEADERS = {"Authorization": f"Bearer {CALLER_KEYS_BY_WORKSPACE['hotels']}"}


class Result:
    """A request: times sent and answered (monotonic s), tokens used, error code."""

    def __init__(self, sent, answered, tokens, error):
        self.sent = sent
        self.answered = answered
        self.tokens = tokens
        self.error = error


def send_request(router, number):
    body = {
        "model": MODEL,
        "max_tokens": OUTPUT_TOKEN_COUNT,
        "messages": [{"role": "user", "content": "part " * WORD_COUNT + str(number)}],
    }
    sent = time.monotonic()
    try:
        response = router.request(
            "POST", "/v1/chat/completions", headers=HEADERS, json=body
        )
    except urllib3.exceptions.HTTPError:
        return Result(sent, time.monotonic(), 0, "no answer")
    answered = time.monotonic()
    if response.status == 200:
        return Result(sent, answered, response.json()["usage"]["total_tokens"], None)
    error = response.json()["error"]
    assert error["ran"] == "not_run"
    return Result(sent, answered, 0, error["code"])


def send_at_fixed_rate(routers, on_halfway):
    """Send requests to the routers in turn at a fixed rate; return the results."""
    results, turns = [], cycle(routers)
    count = int(DURATION_S * OVERLOAD_FACTOR * RATE_TOKENS_PER_S / TYPICAL_COST_TOKENS)
    started = time.monotonic()
    with ThreadPoolExecutor(96) as pool:
        for number in range(count):
            scheduled = started + number * DURATION_S / count
            time.sleep(max(0, scheduled - time.monotonic()))
            if number == count // 2:
                on_halfway()
            results.append(pool.submit(send_request, next(turns), number))
        return [result.result() for result in results]


def max_excess_tokens(results):
    """Return the largest excess, in tokens, over the limit of any time window.

    A window counts the requests that were both sent and answered in it.
    """
    done = [result for result in results if result.tokens]
    max_excess = -BURST_TOKENS
    for first in done:
        inside = sorted(
            (item for item in done if item.sent >= first.sent),
            key=lambda item: item.answered,
        )
        tokens = 0
        for item in inside:
            tokens += item.tokens
            bound = BURST_TOKENS + RATE_TOKENS_PER_S * (item.answered - first.sent)
            max_excess = max(max_excess, tokens - bound)
    return max_excess


@pytest.mark.parametrize("is_single_router", [False, True], ids=["even", "one_vm"])
def test_six_routers_keep_the_rate_when_one_is_killed(is_single_router):
    with LocalFleet(
        routers=6, engines=2, engine_options=ENGINE_OPTIONS, services=False
    ) as local_fleet:
        routers = list(local_fleet.routers_by_id.values())
        inventory = local_fleet.inventory()
        for workspace in inventory["workspaces"]:
            workspace.update(rate=RATE_TOKENS_PER_S, burst=BURST_TOKENS)
        apply_inventory(routers[0], inventory)
        wait_until_ready(routers)
        time.sleep(4)
        killed_router = routers[-1]
        results = send_at_fixed_rate(
            routers[:1] if is_single_router else routers, killed_router.kill
        )
    tokens = sum(result.tokens for result in results)
    errors = {result.error for result in results if result.error}
    print(f"tokens {tokens}, excess {max_excess_tokens(results):.0f}, errors {errors}")
    assert max_excess_tokens(results) <= 0
    assert tokens >= MIN_UTILIZATION * RATE_TOKENS_PER_S * DURATION_S
    assert errors <= ({"over_rate"} if is_single_router else {"over_rate", "no answer"})
