"""Sends a workload through router processes to stand-in engines on loopback.

Run `python -m benchmarks.routing.fleet --policy cost`. Prompts, caches and prefill
have the sizes of the profile; the request rate is reduced to what one machine can
serve.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import defopt
import msgspec
import urllib3

from benchmarks.demo import apply_inventory, read_chat, wait_until_ready
from benchmarks.routing.metrics import percentile
from benchmarks.routing.profiles import BLOCK, PROFILES_BY_NAME, make_calls
from benchmarks.topology import MODEL, LocalFleet
from mulberryhub.base.digest import key_hash

CALL_TIMEOUT_S = 60.0
CLIENT_THREAD_COUNT = 48
WARM_UP_SHARE = 0.25
RATE_TOKENS_PER_S = 10**7  # of all workspaces together


class FleetMetrics(msgspec.Struct):
    """Metrics of one run.

    `hit_rate` is the share of prompt tokens that engines had cached; `p50`, `p95` and
    `p99` are percentiles of the time to the first token in ms.
    """

    policy: str
    requests: int
    failed: int
    hit_rate: float
    p50: float
    p95: float
    p99: float


class CompletedCall(msgspec.Struct):
    """A call with a complete response; times in ms, sizes in tokens."""

    at: float
    tokens: int
    cached: int
    first_token_time: float


def workspace_api_key(workspace):
    """Return the API key of the workspace with the given number."""
    return f"key-of-workspace-{workspace}"


def profile_inventory(local_fleet, profile):
    """Return the inventory of `local_fleet` with the profile's workspaces and rules."""
    inventory = local_fleet.inventory()
    names = [f"workspace-{i}" for i in range(len(profile.shares))]
    inventory["workspaces"] = [
        {"id": name, "rate": RATE_TOKENS_PER_S * share, "burst": RATE_TOKENS_PER_S}
        for name, share in zip(names, profile.shares)
    ]
    inventory["keys"] = [
        {"hash": key_hash(workspace_api_key(i)), "workspace": name}
        for i, name in enumerate(names)
    ]
    inventory["rules"] = msgspec.to_builtins(profile.rules)
    return inventory


def chat_messages(call, profile):
    """Return the chat messages of `call`: one for each prefix level and a question."""
    messages = []
    for depth, level in enumerate(profile.levels[: len(call.path)]):
        prefix_id = "-".join(map(str, (call.workspace, *call.path[: depth + 1])))
        text = f"p{prefix_id} " * (BLOCK * level.blocks)
        messages.append({"role": "system", "content": text})
    question = f"q{call.at:.3f} " * call.question
    return [*messages, {"role": "user", "content": question}]


def send(call, profile, address, start):
    """Send `call` at its arrival time and return a CompletedCall.

    `start` is the monotonic time in s at which the workload starts. Return None and
    print the response if the router refuses the call.
    """
    body = {
        "model": MODEL,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": call.output_tokens,
        "messages": chat_messages(call, profile),
    }
    content = json.dumps(body)
    time.sleep(max(0.0, start + call.at / 1_000 - time.monotonic()))
    sent_at = time.monotonic()
    answer = urllib3.request(
        "POST",
        f"http://{address}/v1/chat/completions",
        headers={"Authorization": f"Bearer {workspace_api_key(call.workspace)}"},
        body=content,
        preload_content=False,
        timeout=CALL_TIMEOUT_S,
        retries=False,
    )
    if answer.status != 200:
        print(answer.data.decode()[:200], file=sys.stderr)
        return None
    chat = read_chat(answer, sent_at)
    tokens = sum(len(item["content"].split()) for item in body["messages"])
    return CompletedCall(call.at, tokens, chat.cached_tokens, chat.first_token_time)


def measure(profile, policy, seed, duration, load, routers, engines):
    """Run the workload with one policy on a new fleet and return its FleetMetrics."""
    calls = make_calls(profile, seed, duration, load)
    cache_tokens = profile.cache_blocks * BLOCK
    options = ("--cache-tokens", cache_tokens, "--token-time", 10)
    settings = {"policy": policy}
    random = Random(seed)
    with LocalFleet(routers, engines, options, settings, services=False) as fleet:
        processes = list(fleet.routers_by_id.values())
        apply_inventory(processes[0], profile_inventory(fleet, profile))
        wait_until_ready(processes)
        start = time.monotonic() + 1
        with ThreadPoolExecutor(CLIENT_THREAD_COUNT) as executor:
            futures = [
                executor.submit(
                    send, call, profile, random.choice(processes).address, start
                )
                for call in calls
            ]
        outcomes = [future.result() for future in futures if not future.exception()]
    completed = [item for item in outcomes if item is not None]
    return summarise(
        policy, completed, len(calls) - len(completed), duration * WARM_UP_SHARE
    )


def summarise(policy, completed, failed, warm_up):
    """Return the FleetMetrics of the calls that arrived after `warm_up` ms."""
    measured = [item for item in completed if item.at >= warm_up]
    times = sorted(item.first_token_time for item in measured)
    prompt_tokens = sum(item.tokens for item in measured) or 1
    return FleetMetrics(
        policy,
        len(measured),
        failed,
        sum(item.cached for item in measured) / prompt_tokens,
        percentile(times, 0.50),
        percentile(times, 0.95),
        percentile(times, 0.99),
    )


def run(
    *,
    profile: str = "prasertkit",
    policy: list[str] = ["cost", "prefix_hash", "two_choices"],  # noqa: B006
    seed: int = 1,
    duration: int = 30_000,
    load: float = 0.2,
    routers: int = 3,
    engines: int = 4,
):
    """Measure each policy on a fleet of its own, one after the other.

    :param profile: prasertkit or kowhai
    :param policy: policies to measure, each used by all routers
    :param seed: seed of the workload
    :param duration: ms of the workload
    :param load: factor on the profile's request rate, which assumes all its engines
    :param routers: number of router processes
    :param engines: number of engine processes
    """
    results = [
        measure(PROFILES_BY_NAME[profile], name, seed, duration, load, routers, engines)
        for name in policy
    ]
    for result in results:
        print(
            f"{result.policy:16} {result.requests} requests, {result.failed} failed, "
            f"hit rate {result.hit_rate:.3f}, p50 {result.p50:.0f} ms, "
            f"p95 {result.p95:.0f} ms, p99 {result.p99:.0f} ms",
            file=sys.stderr,
        )
    print(msgspec.json.encode(results).decode())


if __name__ == "__main__":
    defopt.run(run)
