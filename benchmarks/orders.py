"""Measures orders: latency added by a router, calls per second and bytes of the log.

Three routers, one order worker and the log's stand-in run on loopback. Prints JSON.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from statistics import quantiles

import defopt
import urllib3

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, Topology
from mulberryhub.external.log import LogClient, OffsetExpired
from mulberryhub.orders.at_most_once import PARTITION_COUNT
from mulberryhub.orders.idempotency import new_idempotency_key

KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
ONCE_PATH = "/orders"
IDEMPOTENT_PATH = "/stock"


def add_services(topology):
    """Start a worker and return the inventory with its two routes."""
    worker = topology.fleet.start("mulberryhub.standins.service")
    document = topology.inventory()
    document["upstreams"].append(
        {
            "id": "worker",
            "kind": "service",
            "data_centre": "bangkok-1",
            "address": worker.address,
        }
    )
    document["routes"] = [
        {"path": ONCE_PATH, "upstreams": ["worker"], "idempotent": False},
        {"path": IDEMPOTENT_PATH, "upstreams": ["worker"]},
    ]
    return worker, document


class Driver:
    """Sends calls in turn to the addresses, `concurrency` at a time."""

    def __init__(self, addresses, concurrency):
        self.addresses = addresses
        self.concurrency = concurrency
        self.pool = urllib3.PoolManager(maxsize=concurrency, retries=False)
        self.turn = count()

    def call(self, path):
        """Send one call and return its time in ms."""
        address = self.addresses[next(self.turn) % len(self.addresses)]
        headers = {
            "X-Api-Key": KEY,
            "Idempotency-Key": new_idempotency_key(time.time_ns() // 1_000_000),
        }
        started = time.monotonic()
        answer = self.pool.request(
            "POST", f"http://{address}{path}", headers=headers, json={"part": "seal"}
        )
        if answer.status != 201:
            raise RuntimeError(f"{address} answered {answer.status}: {answer.data}")
        return (time.monotonic() - started) * 1000

    def run(self, path, calls):
        """Send `calls` calls; return the rate per second and times in ms."""
        with ThreadPoolExecutor(self.concurrency) as threads:
            list(threads.map(self.call, [path] * self.concurrency))
            started = time.monotonic()
            times = list(threads.map(self.call, [path] * calls))
            elapsed = time.monotonic() - started
        cuts = quantiles(times, n=100)
        return {
            "concurrency": self.concurrency,
            "calls_per_second": round(calls / elapsed, 1),
            "p50_ms": round(cuts[49], 2),
            "p95_ms": round(cuts[94], 2),
            "p99_ms": round(cuts[98], 2),
        }


def log_size(address):
    """Return the number of claim records and the bytes to read them all."""
    client = LogClient(address)
    records = size = 0
    for index in range(PARTITION_COUNT):
        try:
            page = client.read(f"claims-{index}", 0, 500)
        except OffsetExpired:
            continue
        records += len(page.records)
        size += sum(
            len(json.dumps({"offset": item.offset, "time": item.time, "payload": ""}))
            + 4 * -(-len(item.payload) // 3)
            for item in page.records
        )
    return records, size


def run(*, calls: int = 400):
    """Measure and print.

    :param calls: calls of each measurement
    """
    with Topology(routers=3, engines=0, services=False) as topology:
        worker, document = add_services(topology)
        routers = list(topology.routers_by_id.values())
        apply_inventory(routers[0], document)
        wait_ready(routers)
        addresses = [router.address for router in routers]
        result = {"direct": Driver([worker.address], 1).run(ONCE_PATH, calls)}
        result["idempotent"] = Driver(addresses, 1).run(IDEMPOTENT_PATH, calls)
        result["once"] = [
            Driver(addresses, concurrency).run(ONCE_PATH, calls)
            for concurrency in (1, 8, 32)
        ]
        records, size = log_size(topology.log.address)
        result["claim_records"] = records
        result["bytes_per_record"] = round(size / records)
        print(json.dumps(result, indent=2))


if __name__ == "__main__":
    defopt.run(run)
