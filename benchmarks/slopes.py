"""Slopes of memory and time against sizes, measured in this process.

Run as `python -m benchmarks.slopes`; prints one JSON object per slope: the unit,
the sizes measured, the value at each and the fitted value per item. The slopes that
the capacity page uses are kept in `benchmarks/slopes.jsonl`, one object a line.
"""

import gc
import json
import time
import tracemalloc
from functools import partial
from types import SimpleNamespace

import msgspec
import numpy as np

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.config.inventory import Inventory, Key, Model, Upstream, Workspace
from mulberryhub.config.view import ConfigView
from mulberryhub.limits.limiter import Limiter
from mulberryhub.peers.members import (
    Member,
    MembershipState,
    MembershipView,
    RouterIdentity,
)
from mulberryhub.replica.member_records import (
    Adopted,
    Joined,
    decode_record,
    encode_record,
)
from mulberryhub.replica.member_table import MemberTable
from mulberryhub.routing.policies import make_policy
from mulberryhub.routing.prefix_index import PrefixIndex
from mulberryhub.routing.request import RouteRequest, Scope

SIZES = (500, 1_000, 2_000, 4_000)
MEMBER_COUNTS = (50, 100, 200, 400)
DECISIONS = 300


class Slope(msgspec.Struct):
    """One measured slope; `per_item` is the least-squares gradient."""

    name: str
    unit: str
    sizes: list[int]
    values: list[float]
    per_item: float
    at_zero: float
    command: str = "python -m benchmarks.slopes"


def fit(name, unit, sizes, values):
    """Return the Slope through `values` at `sizes`."""
    gradient, intercept = np.polyfit(sizes, values, 1)
    rounded = [round(value, 3) for value in values]
    return Slope(name, unit, list(sizes), rounded, float(gradient), float(intercept))


def held_bytes(build):
    """Return the bytes that the result of `build()` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return size


def inventory_of(workspaces=0, keys=0, engines=0):
    """Return the JSON of an inventory with that many entries."""
    inventory = Inventory(
        models=[Model(f"model-{index}", "1") for index in range(3)],
        workspaces=[
            Workspace(f"workspace-{index}", 1_000, 5_000) for index in range(workspaces)
        ],
        keys=[
            Key(key_hash(f"key-{index}"), f"workspace-{index % max(1, workspaces)}")
            for index in range(keys)
        ],
        upstreams=[
            Upstream(
                f"engine-{index}",
                "engine",
                f"data-centre-{index % 8}",
                f"10.0.{index // 250}.{index % 250}:8000",
                [f"model-{index % 3}"],
            )
            for index in range(engines)
        ],
    )
    return msgspec.json.encode(inventory)


def view_of(data):
    """Return the view of an inventory given as JSON."""
    return ConfigView(1, msgspec.json.decode(data, type=Inventory))


def view_slopes():
    """Yield the memory that a view keeps per workspace, key and engine."""
    for field in ("workspaces", "keys", "engines"):
        documents = [inventory_of(**{field: size}) for size in SIZES]
        values = [held_bytes(partial(view_of, data)) for data in documents]
        yield fit(f"view.{field}", "bytes", SIZES, values)
        lengths = [len(data) for data in documents]
        yield fit(f"inventory.{field}", "bytes of JSON", SIZES, lengths)


def load_slopes():
    """Yield the time to decode and index an inventory."""
    values = []
    for size in SIZES:
        data = inventory_of(workspaces=size, keys=size, engines=size // 4)
        started = time.process_time()
        view_of(data)
        values.append((time.process_time() - started) * 1000)
    yield fit("view.load", "ms of CPU", SIZES, values)


def decision_slopes(policy_name):
    """Yield the time of one decision against the number of engines."""
    clock = Clock()
    values = []
    for size in SIZES:
        view = view_of(inventory_of(engines=size))
        engines = view.engines_for("model-0")
        policy = make_policy(policy_name, clock)
        policy.choose(request_of(0), engines, clock.now())
        started = time.process_time()
        for number in range(DECISIONS):
            policy.choose(request_of(number), engines, clock.now())
        elapsed = time.process_time() - started
        values.append(elapsed / DECISIONS * 1_000_000)
    yield fit(f"decision.{policy_name}", "µs of CPU", SIZES, values)


def allowance_slopes():
    """Yield the memory that a limiter keeps per workspace."""
    router = RouterIdentity("vm-0", "data-centre-0", "127.0.0.1:1")
    values = []
    for size in SIZES:
        view = view_of(inventory_of(workspaces=size))
        replica = SimpleNamespace(current=lambda view=view: view)
        values.append(held_bytes(partial(limiter_of, router, replica)))
    yield fit("limiter.workspaces", "bytes", SIZES, values)


def limiter_of(router, replica):
    """Return a limiter that has taken up the workspaces of `replica`."""
    server = SimpleNamespace(register_handler=lambda *arguments: None)
    limiter = Limiter(router, replica, None, server, Clock(), Counters())
    limiter.update_members(
        MembershipState({"vm-0": member_of(0, router.incarnation)}, one_view())
    )
    return limiter


def one_view():
    """Return the views of a fleet of one VM."""
    return (MembershipView(0, ("vm-0",)),)


def member_of(index, incarnation="0123456789abcdef"):
    """Return one member."""
    return Member(f"vm-{index}", incarnation, "data-centre-0", "10.0.0.1:7000", 0)


def member_slopes():
    """Yield memory, record sizes and replay time of the members' stream."""
    values, lengths, times = [], [], []
    for size in MEMBER_COUNTS:
        records = [
            Joined(f"vm-{index}", "0123456789abcdef", "data-centre-0", "10.0.0.1:7000")
            for index in range(size)
        ]
        table = table_of(records)
        lengths.append(len(encode_record(table.snapshot())))
        values.append(held_bytes(partial(table_of, records)))
        times.append(adoption_time(table, size))
    yield fit("members.memory", "bytes", MEMBER_COUNTS, values)
    yield fit("members.snapshot", "bytes of a record", MEMBER_COUNTS, lengths)
    yield fit("members.adoption", "µs of CPU for a record", MEMBER_COUNTS, times)


def table_of(records):
    """Return the members after `records`, all of which have been adopted."""
    table = MemberTable()
    for offset, record in enumerate(records):
        table.apply(offset, record)
    newest = table.views[-1].offset
    for number, record in enumerate(records):
        adopted = Adopted(record.vm, record.incarnation, newest)
        table.apply(len(records) + number, adopted)
    return table


def adoption_time(table, size):
    """Return the µs to take in one adoption of a new view by `size` members."""
    start = table.last_offset + 1
    table.apply(start, Joined("vm-new", "fedcba9876543210", "dc", "10.0.0.2:7000"))
    records = [
        Adopted(f"vm-{index}", "0123456789abcdef", start) for index in range(size)
    ]
    started = time.process_time()
    for number, record in enumerate(records):
        table.apply(start + 1 + number, decode_record(encode_record(record)))
    return (time.process_time() - started) / size * 1_000_000


def prefix_index_slopes():
    """Yield the memory of the table of what engines hold, per sighting."""
    values = []
    for size in SIZES:
        values.append(held_bytes(partial(prefix_index_of, size)))
    yield fit("knowledge.sightings", "bytes", SIZES, values)


def prefix_index_of(size):
    """Return a table of `size` prefixes, each seen at one engine."""
    prefix_index = PrefixIndex()
    for index in range(size):
        prefix_index.record(index.to_bytes(16, "big"), f"engine-{index % 10}", index)
    return prefix_index


def request_of(number):
    """Return a request of three blocks; ten requests share their first two."""
    parts = (number // 10, number // 10 + 1_000, number)
    chain = [part.to_bytes(16, "big") for part in parts]
    scope = Scope("workspace-0", "model-0", "1")
    return RouteRequest(scope, chain, [2_000, 4_000, 4_500], [0, 1], 4_500)


def main():
    """Measure and print all slopes."""
    for slopes in (
        view_slopes(),
        load_slopes(),
        allowance_slopes(),
        member_slopes(),
        prefix_index_slopes(),
        decision_slopes("rendezvous"),
    ):
        for slope in slopes:
            print(json.dumps(msgspec.to_builtins(slope)))


if __name__ == "__main__":
    main()
