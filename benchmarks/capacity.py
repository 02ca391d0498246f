"""Estimates what each task of a router costs in a large fleet, from measured slopes.

Run `python -m benchmarks.capacity`; it prints the table of docs/CAPACITY.md.
"""

from pathlib import Path

import msgspec

from benchmarks.slopes import Slope

SLOPES_PATH = Path(__file__).with_name("slopes.jsonl")
SECONDS_PER_DAY = 86_400
BYTES_PER_MEGABYTE = 1_000_000
BASE64_RATIO = 4 / 3  # bytes on the wire per byte of a log record
HOLDERS_PER_WORKSPACE = 9  # routers that hold shares of one workspace
KEYS_PER_WORKSPACE = 3
# The slope view.load is per workspace, each with one key and a quarter of an engine.
ENTRIES_PER_LOAD_ITEM = 2.25
CHANGE_RECORD_BYTES = 202  # a log record that changes one entry
# An adoption record; nearly all records of the membership stream are adoptions.
MEMBER_RECORD_BYTES = 63
POLLS_PER_S = 10
POLL_BYTES = 367  # both directions, without TCP and IP headers
# Both directions, with TCP and IP headers (docs/design/limits.md).
PEER_CALL_BYTES = 1_200
NEWS_CALLS_PER_S = 8  # made by each router
ORDERS_PER_S = 150  # requests of the whole fleet that run at most once
CLAIM_READ_BYTES = 15_000  # read back for each claim (docs/design/at-most-once.md)
LONG_POLL_S = 2.0  # duration of one long poll of the log
LONG_POLL_BYTES = 400  # a request and its empty response


class FleetSize(msgspec.Struct):
    """Size and load of the whole fleet."""

    router_count: int = 400
    engine_count: int = 3_300
    requests_per_s: int = 18_000
    tokens_per_s: int = 6_400_000
    workspace_count: int = 9_000
    config_changes_per_day: int = 2_700
    restarts_per_day: int = 620
    failures_per_day: int = 25


class CostRow(msgspec.Struct):
    """Cost of one task on one router.

    Memory is in MB, CPU time in percent of a core and traffic in bytes per second.
    `appends` is the number of log appends per second of the whole fleet.
    """

    role: str
    mechanism: str
    memory: float = 0.0
    cpu: float = 0.0
    traffic: float = 0.0
    appends: float = 0.0


def read_slopes():
    """Read the measured slopes from slopes.jsonl and return them by name."""
    lines = SLOPES_PATH.read_bytes().splitlines()
    slopes = [msgspec.json.decode(line, type=Slope) for line in lines]
    return {slope.name: slope for slope in slopes}


def configuration_cost(size, slopes):
    """Return the cost of storing the configuration and applying its changes."""
    keys = size.workspace_count * KEYS_PER_WORKSPACE
    memory = (
        size.workspace_count * slopes["view.workspaces"].per_item
        + keys * slopes["view.keys"].per_item
        + size.engine_count * slopes["view.engines"].per_item
    )
    entries = size.workspace_count + keys + size.engine_count
    rate = size.config_changes_per_day / SECONDS_PER_DAY
    load_ms = slopes["view.load"].per_item * entries / ENTRIES_PER_LOAD_ITEM
    return CostRow(
        "configuration in force",
        "log tail; records of what changed; a view rebuilt at each change",
        memory / BYTES_PER_MEGABYTE,
        load_ms * rate / 10,
        rate * CHANGE_RECORD_BYTES * BASE64_RATIO + LONG_POLL_BYTES / LONG_POLL_S,
        rate,
    )


def whole_inventory_cost(size, slopes):
    """Return the cost if every change were a log record of the whole inventory."""
    inventory_bytes = (
        size.workspace_count * slopes["inventory.workspaces"].per_item
        + size.workspace_count * KEYS_PER_WORKSPACE * slopes["inventory.keys"].per_item
        + size.engine_count * slopes["inventory.engines"].per_item
    )
    rate = size.config_changes_per_day / SECONDS_PER_DAY
    return CostRow(
        "the same, if each change were a whole inventory",
        f"log record of {inventory_bytes / BYTES_PER_MEGABYTE:.1f} MB",
        traffic=rate * inventory_bytes * BASE64_RATIO,
        appends=rate,
    )


def membership_cost(size, slopes):
    """Return the cost of the membership stream."""
    events = 2 * (size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY
    records = events * (size.router_count + 2)
    adoption = slopes["members.adoption"]
    record_us = adoption.at_zero + adoption.per_item * size.router_count
    return CostRow(
        "membership",
        "joins, adoptions and leaves in the log, replayed by all",
        slopes["members.memory"].per_item * size.router_count / BYTES_PER_MEGABYTE,
        records * record_us / 10_000,
        records * MEMBER_RECORD_BYTES * BASE64_RATIO,
        records,
    )


def rate_limiter_cost(size, slopes):
    """Return the memory of the rate limiter, which keeps an account per workspace."""
    memory = size.workspace_count * slopes["limiter.workspaces"].per_item
    held = size.workspace_count * HOLDERS_PER_WORKSPACE / size.router_count
    return CostRow(
        "allowances",
        f"an account for each workspace; {held:.0f} would be held by a node",
        memory / BYTES_PER_MEGABYTE,
    )


def polling_cost(size, slopes):
    """Return the cost of polling engines."""
    return CostRow(
        "watch of engines",
        f"{POLLS_PER_S} polls a second, whatever the number of engines",
        cpu=POLLS_PER_S * slopes["watcher.polls"].per_item / 10,
        traffic=POLLS_PER_S * POLL_BYTES,
    )


def borrowing_cost(size, slopes):
    """Return the cost of borrowing tokens from peers with one call per request."""
    calls = (
        size.requests_per_s
        / size.router_count
        * (1 - HOLDERS_PER_WORKSPACE / size.router_count)
    )
    return CostRow(
        "borrowing, a call for each request",
        "asks to holders, in one call for each holder and round",
        cpu=2 * calls * slopes["peers.call"].per_item / 10,
        traffic=2 * calls * PEER_CALL_BYTES / 2,
    )


def state_exchange_cost(size, slopes):
    """Return the cost of exchanging routing state with neighbouring routers."""
    return CostRow(
        "routing news",
        "8 calls a second made and 8 answered, whatever the number of routers",
        cpu=2 * NEWS_CALLS_PER_S * slopes["peers.call"].per_item / 10,
        traffic=2 * NEWS_CALLS_PER_S * PEER_CALL_BYTES / 2,
    )


def config_comparison_cost(size, slopes):
    """Return the cost of comparing the configuration with one peer per second."""
    return CostRow(
        "comparison of configurations and withdrawn keys",
        "one call a second to a random peer, one answered",
        cpu=2 * slopes["peers.call"].per_item / 10,
        traffic=2 * PEER_CALL_BYTES / 2,
    )


def orders_cost(size, slopes):
    """Return the cost of requests that run at most once, at ORDERS_PER_S."""
    calls = ORDERS_PER_S / size.router_count
    return CostRow(
        f"{ORDERS_PER_S} orders a second over the fleet",
        "claims in 256 streams of the log, read back on demand",
        traffic=calls * CLAIM_READ_BYTES,
        appends=2 * ORDERS_PER_S,
    )


def decision_cost(size, slopes):
    """Return the cost of routing decisions."""
    slope = slopes["decision.rendezvous"]
    engines_per_model = size.engine_count / 3
    decision_us = slope.at_zero + slope.per_item * engines_per_model
    return CostRow(
        "decisions",
        "rendezvous hashing over the engines of one model",
        slopes["knowledge.sightings"].per_item * 4_096 / BYTES_PER_MEGABYTE,
        size.requests_per_s / size.router_count * decision_us / 10_000,
    )


COST_ESTIMATES = (
    configuration_cost,
    whole_inventory_cost,
    membership_cost,
    rate_limiter_cost,
    borrowing_cost,
    state_exchange_cost,
    config_comparison_cost,
    orders_cost,
    polling_cost,
    decision_cost,
)


def table():
    """Return the lines of the cost table in Markdown."""
    slopes = read_slopes()
    size = FleetSize()
    lines = [
        "| role | mechanism | MB | CPU, % of a core | bytes/s | appends/s, fleet |",
        "|---|---|---|---|---|---|",
    ]
    for estimate in COST_ESTIMATES:
        row = estimate(size, slopes)
        lines.append(
            f"| {row.role} | {row.mechanism} | {row.memory:.2f} | {row.cpu:.2f} "
            f"| {row.traffic:.0f} | {row.appends:.2f} |"
        )
    return lines


def main():
    """Print the cost table."""
    print("\n".join(table()))


if __name__ == "__main__":
    main()
