"""Measures how memory and CPU time grow with the size of a configuration or fleet.

Run `python -m benchmarks.slopes`; it prints one JSON object per line for each slope:
the unit, the measured sizes, the value at each size and the fitted value per item. The
slopes used by the capacity page are stored in `benchmarks/slopes.jsonl`.
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
DECISION_COUNT = 300


class Slope(msgspec.Struct):
    """A line fitted to measured values by least squares.

    `per_item` is its gradient and `at_zero` its intercept.
    """

    name: str
    unit: str
    sizes: list[int]
    values: list[float]
    per_item: float
    at_zero: float
    command: str = "python -m benchmarks.slopes"


def fit_slope(name, unit, sizes, values):
    """Return the Slope fitted to `values` at `sizes`."""
    gradient, intercept = np.polyfit(sizes, values, 1)
    rounded = [round(value, 3) for value in values]
    return Slope(name, unit, list(sizes), rounded, float(gradient), float(intercept))


def retained_bytes(build):
    """Return the bytes of memory that the result of `build()` retains."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del retained
    return size


def encode_inventory(workspaces=0, keys=0, engines=0):
    """Return an inventory with the given numbers of entries, encoded as JSON."""
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


def decode_view(data):
    """Return the ConfigView of an inventory encoded as JSON."""
    return ConfigView(1, msgspec.json.decode(data, type=Inventory))


def view_slopes():
    """Yield the memory of a view and the size of its JSON per kind of entry."""
    for field in ("workspaces", "keys", "engines"):
        documents = [encode_inventory(**{field: size}) for size in SIZES]
        values = [retained_bytes(partial(decode_view, data)) for data in documents]
        yield fit_slope(f"view.{field}", "bytes", SIZES, values)
        lengths = [len(data) for data in documents]
        yield fit_slope(f"inventory.{field}", "bytes of JSON", SIZES, lengths)


def view_load_slopes():
    """Yield the CPU time to decode and index an inventory."""
    values = []
    for size in SIZES:
        data = encode_inventory(workspaces=size, keys=size, engines=size // 4)
        started = time.process_time()
        decode_view(data)
        values.append((time.process_time() - started) * 1000)
    yield fit_slope("view.load", "ms of CPU", SIZES, values)


def decision_slopes(policy_name):
    """Yield the CPU time of one routing decision by the number of engines."""
    clock = Clock()
    values = []
    for size in SIZES:
        view = decode_view(encode_inventory(engines=size))
        engines = view.engines_for("model-0")
        policy = make_policy(policy_name, clock)
        policy.choose(build_request(0), engines, clock.now())
        started = time.process_time()
        for number in range(DECISION_COUNT):
            policy.choose(build_request(number), engines, clock.now())
        elapsed = time.process_time() - started
        values.append(elapsed / DECISION_COUNT * 1_000_000)
    yield fit_slope(f"decision.{policy_name}", "µs of CPU", SIZES, values)


def limiter_slopes():
    """Yield the memory of a limiter per workspace."""
    router = RouterIdentity("vm-0", "data-centre-0", "127.0.0.1:1")
    values = []
    for size in SIZES:
        view = decode_view(encode_inventory(workspaces=size))
        replica = SimpleNamespace(current=lambda view=view: view)
        values.append(retained_bytes(partial(build_limiter, router, replica)))
    yield fit_slope("limiter.workspaces", "bytes", SIZES, values)


def build_limiter(router, replica):
    """Return a limiter with an account for each workspace of `replica`."""
    server = SimpleNamespace(register_handler=lambda *arguments: None)
    limiter = Limiter(router, replica, None, server, Clock(), Counters())
    limiter.update_members(
        MembershipState(
            {"vm-0": build_member(0, router.incarnation)}, single_vm_views()
        )
    )
    return limiter


def single_vm_views():
    """Return the membership views of a fleet of one VM."""
    return (MembershipView(0, ("vm-0",)),)


def build_member(index, incarnation="0123456789abcdef"):
    """Return the member with this index."""
    return Member(f"vm-{index}", incarnation, "data-centre-0", "10.0.0.1:7000", 0)


def member_slopes():
    """Yield memory, snapshot size and replay time of the membership stream."""
    values, lengths, times = [], [], []
    for size in MEMBER_COUNTS:
        records = [
            Joined(f"vm-{index}", "0123456789abcdef", "data-centre-0", "10.0.0.1:7000")
            for index in range(size)
        ]
        table = build_member_table(records)
        lengths.append(len(encode_record(table.snapshot())))
        values.append(retained_bytes(partial(build_member_table, records)))
        times.append(adoption_time_us(table, size))
    yield fit_slope("members.memory", "bytes", MEMBER_COUNTS, values)
    yield fit_slope("members.snapshot", "bytes of a record", MEMBER_COUNTS, lengths)
    yield fit_slope("members.adoption", "µs of CPU for a record", MEMBER_COUNTS, times)


def build_member_table(records):
    """Return a table of the members in `records`, which all adopted the newest view."""
    table = MemberTable()
    for offset, record in enumerate(records):
        table.apply(offset, record)
    newest = table.views[-1].offset
    for number, record in enumerate(records):
        adopted = Adopted(record.vm, record.incarnation, newest)
        table.apply(len(records) + number, adopted)
    return table


def adoption_time_us(table, size):
    """Return the µs to apply one record while `size` members adopt a new view."""
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
    """Yield the memory of the prefix index per prefix."""
    values = []
    for size in SIZES:
        values.append(retained_bytes(partial(build_prefix_index, size)))
    yield fit_slope("knowledge.sightings", "bytes", SIZES, values)


def build_prefix_index(size):
    """Return an index of `size` prefixes, each cached on one engine."""
    prefix_index = PrefixIndex()
    for index in range(size):
        prefix_index.record(index.to_bytes(16, "big"), f"engine-{index % 10}", index)
    return prefix_index


def build_request(number):
    """Return a request of three blocks; each ten requests share the first two."""
    parts = (number // 10, number // 10 + 1_000, number)
    chain = [part.to_bytes(16, "big") for part in parts]
    scope = Scope("workspace-0", "model-0", "1")
    return RouteRequest(scope, chain, [2_000, 4_000, 4_500], [0, 1], 4_500)


def main():
    """Measure and print all slopes."""
    for slopes in (
        view_slopes(),
        view_load_slopes(),
        limiter_slopes(),
        member_slopes(),
        prefix_index_slopes(),
        decision_slopes("rendezvous"),
    ):
        for slope in slopes:
            print(json.dumps(msgspec.to_builtins(slope)))


if __name__ == "__main__":
    main()
