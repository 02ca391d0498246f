"""Sends a workload through real routers to engine stand-ins, all on loopback.

Run `python -m benchmarks.routing.fleet --policy cost`. Prompts, caches and prefill
keep their sizes; the rate is low enough for one machine.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import defopt
import msgspec
import urllib3

from benchmarks.demo import apply_inventory, read_chat, wait_ready
from benchmarks.routing.measures import percentile
from benchmarks.routing.profiles import BLOCK, PROFILES_BY_NAME, make_calls
from benchmarks.topology import MODEL, Topology
from mulberryhub.base.digest import key_hash

CALL_TIMEOUT = 60.0  # s
CALLERS = 48
WARM_UP_SHARE = 0.25
RATE = 10**7  # tokens per second


class FleetFigures(msgspec.Struct):
    """Figures of one run; shares are of prompt tokens, times in ms."""

    policy: str
    requests: int
    failed: int
    hit_rate: float
    p50: float
    p95: float
    p99: float


class Done(msgspec.Struct):
    """One answered call."""

    at: float
    tokens: int
    cached: int
    first_token_time: float


def workspace_key(workspace):
    """Return the caller's key of a workspace number."""
    return f"key-of-workspace-{workspace}"


def inventory_of(topology, profile):
    """Return the inventory of `topology` with the workspaces of `profile`."""
    inventory = topology.inventory()
    names = [f"workspace-{i}" for i in range(len(profile.shares))]
    inventory["workspaces"] = [
        {"id": name, "rate": RATE * share, "burst": RATE}
        for name, share in zip(names, profile.shares)
    ]
    inventory["keys"] = [
        {"hash": key_hash(workspace_key(i)), "workspace": name}
        for i, name in enumerate(names)
    ]
    inventory["rules"] = msgspec.to_builtins(profile.rules)
    return inventory


def messages_of(call, profile):
    """Return the chat messages of `call`, one for each level and the question."""
    messages = []
    for depth, level in enumerate(profile.levels[: len(call.path)]):
        tag = "-".join(map(str, (call.workspace, *call.path[: depth + 1])))
        text = f"p{tag} " * (BLOCK * level.blocks)
        messages.append({"role": "system", "content": text})
    question = f"q{call.at:.3f} " * call.question
    return [*messages, {"role": "user", "content": question}]


def send(call, profile, address, start):
    """Send `call` at its time and return what became of it, or None."""
    body = {
        "model": MODEL,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": call.output_tokens,
        "messages": messages_of(call, profile),
    }
    data = json.dumps(body)
    time.sleep(max(0.0, start + call.at / 1_000 - time.monotonic()))
    sent_at = time.monotonic()
    answer = urllib3.request(
        "POST",
        f"http://{address}/v1/chat/completions",
        headers={"Authorization": f"Bearer {workspace_key(call.workspace)}"},
        body=data,
        preload_content=False,
        timeout=CALL_TIMEOUT,
        retries=False,
    )
    if answer.status != 200:
        print(answer.data.decode()[:200], file=sys.stderr)
        return None
    chat = read_chat(answer, sent_at)
    tokens = sum(len(item["content"].split()) for item in body["messages"])
    return Done(call.at, tokens, chat.cached_tokens, chat.first_token_time)


def measure(profile, policy, seed, duration, load, routers, engines):
    """Return the FleetFigures of one run."""
    calls = make_calls(profile, seed, duration, load)
    cache_tokens = profile.cache_blocks * BLOCK
    options = ("--cache-tokens", cache_tokens, "--token-time", 10)
    settings = {"policy": policy}
    random = Random(seed)
    with Topology(routers, engines, options, settings, services=False) as fleet:
        processes = list(fleet.routers_by_id.values())
        apply_inventory(processes[0], inventory_of(fleet, profile))
        wait_ready(processes)
        start = time.monotonic() + 1
        with ThreadPoolExecutor(CALLERS) as callers:
            futures = [
                callers.submit(
                    send, call, profile, random.choice(processes).address, start
                )
                for call in calls
            ]
        outcomes = [future.result() for future in futures if not future.exception()]
    done = [item for item in outcomes if item is not None]
    return figures(policy, done, len(calls) - len(done), duration * WARM_UP_SHARE)


def figures(policy, done, failed, warm_up):
    """Return the FleetFigures of the calls after `warm_up` ms."""
    inside = [item for item in done if item.at >= warm_up]
    times = sorted(item.first_token_time for item in inside)
    tokens = sum(item.tokens for item in inside) or 1
    return FleetFigures(
        policy,
        len(inside),
        failed,
        sum(item.cached for item in inside) / tokens,
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
    """Measure policies one after the other.

    :param profile: prasertkit or kowhai
    :param policy: policies of all routers
    :param seed: seed of the workload
    :param duration: ms of the workload
    :param load: factor on the rate of the profile, which is for all its engines
    :param routers: router processes
    :param engines: engine processes
    """
    rows = [
        measure(PROFILES_BY_NAME[profile], name, seed, duration, load, routers, engines)
        for name in policy
    ]
    for row in rows:
        print(
            f"{row.policy:16} {row.requests} requests, {row.failed} failed, "
            f"hit rate {row.hit_rate:.3f}, p50 {row.p50:.0f} ms, "
            f"p95 {row.p95:.0f} ms, p99 {row.p99:.0f} ms",
            file=sys.stderr,
        )
    print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    defopt.run(run)
