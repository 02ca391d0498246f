"""Cost of each role at the size that decides the design, from measured slopes.

Run as `python -m benchmarks.capacity`; prints the tables of docs/CAPACITY.md.
"""

from pathlib import Path

import msgspec

from benchmarks.slopes import Slope

SLOPES_PATH = Path(__file__).with_name("slopes.jsonl")
SECONDS_PER_DAY = 86_400
MEGABYTE = 1_000_000  # bytes
BASE64 = 4 / 3  # bytes on the wire for each byte of a record
HOLDERS = 9  # routers that hold one workspace
KEYS_PER_WORKSPACE = 3
ENTRIES_PER_SIZE = 2.25  # a workspace, a key and a quarter of an engine
CHANGE_BYTES = 202  # bytes of a record that changes one entry
MEMBER_RECORD_BYTES = 63  # bytes of an adoption, nearly all of the stream
POLLS = 10  # a second
POLL_BYTES = 367  # bytes both ways, without those of TCP and IP
PEER_CALL_BYTES = 1_200  # bytes both ways, TCP and IP included (docs/design/limits.md)
NEWS_CALLS = 8  # calls a second that a router makes
ORDERS = 150  # calls a second that run at most once, over the fleet
CLAIM_READ_BYTES = 15_000  # bytes read back for a claim (docs/design/at-most-once.md)
TAIL_INTERVAL = 2.0  # s of one long poll of the log
TAIL_BYTES = 400  # bytes of an empty answer and its request


class Size(msgspec.Struct):
    """The size of the whole fleet; `changes`, `restarts` and `failures` are a day's."""

    nodes: int = 400
    workers: int = 3_300
    requests: int = 18_000
    tokens: int = 6_400_000
    workspaces: int = 9_000
    changes: int = 2_700
    restarts: int = 620
    failures: int = 25


class Line(msgspec.Struct):
    """Cost of one role on one node; CPU in % of a core, memory in MB, bytes a second.

    `appends` are those of the whole fleet to the log, a second.
    """

    role: str
    mechanism: str
    memory: float = 0.0
    cpu: float = 0.0
    traffic: float = 0.0
    appends: float = 0.0


def read_slopes():
    """Return the measured slopes by name."""
    lines = SLOPES_PATH.read_bytes().splitlines()
    slopes = [msgspec.json.decode(line, type=Slope) for line in lines]
    return {slope.name: slope for slope in slopes}


def configuration_line(size, slopes):
    """Return the cost of holding and following the configuration."""
    keys = size.workspaces * KEYS_PER_WORKSPACE
    memory = (
        size.workspaces * slopes["view.workspaces"].per_item
        + keys * slopes["view.keys"].per_item
        + size.workers * slopes["view.engines"].per_item
    )
    entries = size.workspaces + keys + size.workers
    rate = size.changes / SECONDS_PER_DAY
    load = slopes["view.load"].per_item * entries / ENTRIES_PER_SIZE
    return Line(
        "configuration in force",
        "log tail; records of what changed; a view rebuilt at each change",
        memory / MEGABYTE,
        load * rate / 10,
        rate * CHANGE_BYTES * BASE64 + TAIL_BYTES / TAIL_INTERVAL,
        rate,
    )


def whole_inventory_line(size, slopes):
    """Return the cost of changes that carry the whole inventory."""
    data = (
        size.workspaces * slopes["inventory.workspaces"].per_item
        + size.workspaces * KEYS_PER_WORKSPACE * slopes["inventory.keys"].per_item
        + size.workers * slopes["inventory.engines"].per_item
    )
    rate = size.changes / SECONDS_PER_DAY
    return Line(
        "the same, if each change were a whole inventory",
        f"log record of {data / MEGABYTE:.1f} MB",
        traffic=rate * data * BASE64,
        appends=rate,
    )


def membership_line(size, slopes):
    """Return the cost of the members' stream."""
    events = 2 * (size.restarts + size.failures) / SECONDS_PER_DAY
    records = events * (size.nodes + 2)
    adoption = slopes["members.adoption"]
    record_cpu = adoption.at_zero + adoption.per_item * size.nodes
    return Line(
        "membership",
        "joins, adoptions and leaves in the log, replayed by all",
        slopes["members.memory"].per_item * size.nodes / MEGABYTE,
        records * record_cpu / 10_000,
        records * MEMBER_RECORD_BYTES * BASE64,
        records,
    )


def allowance_line(size, slopes):
    """Return the memory of allowances as built: an account for each workspace."""
    memory = size.workspaces * slopes["limiter.workspaces"].per_item
    held = size.workspaces * HOLDERS / size.nodes
    return Line(
        "allowances",
        f"an account for each workspace; {held:.0f} would be held by a node",
        memory / MEGABYTE,
    )


def watch_line(size, slopes):
    """Return the cost of the watch of engines."""
    return Line(
        "watch of engines",
        f"{POLLS} polls a second, whatever the number of engines",
        cpu=POLLS * slopes["watcher.polls"].per_item / 10,
        traffic=POLLS * POLL_BYTES,
    )


def borrowing_line(size, slopes):
    """Return the cost of borrowing, if each request borrows for itself."""
    calls = size.requests / size.nodes * (1 - HOLDERS / size.nodes)
    return Line(
        "borrowing, a call for each request",
        "asks to holders, in one call for each holder and round",
        cpu=2 * calls * slopes["peers.call"].per_item / 10,
        traffic=2 * calls * PEER_CALL_BYTES / 2,
    )


def news_line(size, slopes):
    """Return the cost of routing news between neighbours."""
    return Line(
        "routing news",
        "8 calls a second made and 8 answered, whatever the number of routers",
        cpu=2 * NEWS_CALLS * slopes["peers.call"].per_item / 10,
        traffic=2 * NEWS_CALLS * PEER_CALL_BYTES / 2,
    )


def synchronization_line(size, slopes):
    """Return the cost of comparing configurations with one peer a second."""
    return Line(
        "comparison of configurations and withdrawn keys",
        "one call a second to a random peer, one answered",
        cpu=2 * slopes["peers.call"].per_item / 10,
        traffic=2 * PEER_CALL_BYTES / 2,
    )


def orders_line(size, slopes):
    """Return the cost of calls that run at most once, at a given rate."""
    calls = ORDERS / size.nodes
    return Line(
        f"{ORDERS} orders a second over the fleet",
        "claims in 256 streams of the log, read back on demand",
        traffic=calls * CLAIM_READ_BYTES,
        appends=2 * ORDERS,
    )


def decision_line(size, slopes):
    """Return the cost of choosing engines."""
    slope = slopes["decision.rendezvous"]
    engines = size.workers / 3
    time = slope.at_zero + slope.per_item * engines
    return Line(
        "decisions",
        "rendezvous hashing over the engines of one model",
        slopes["knowledge.sightings"].per_item * 4_096 / MEGABYTE,
        size.requests / size.nodes * time / 10_000,
    )


LINES = (
    configuration_line,
    whole_inventory_line,
    membership_line,
    allowance_line,
    borrowing_line,
    news_line,
    synchronization_line,
    orders_line,
    watch_line,
    decision_line,
)


def table():
    """Return the lines of the table in Markdown."""
    slopes = read_slopes()
    size = Size()
    rows = [
        "| role | mechanism | MB | CPU, % of a core | bytes/s | appends/s, fleet |",
        "|---|---|---|---|---|---|",
    ]
    for make_line in LINES:
        line = make_line(size, slopes)
        rows.append(
            f"| {line.role} | {line.mechanism} | {line.memory:.2f} | {line.cpu:.2f} "
            f"| {line.traffic:.0f} | {line.appends:.2f} |"
        )
    return rows


def main():
    """Print the table."""
    print("\n".join(table()))


if __name__ == "__main__":
    main()
