"""Measures at-most-once calls: added latency, throughput and size of the claim log.

Run `python -m benchmarks.orders`; it prints JSON. Three routers, a stand-in of the
service and a stand-in of the log run on loopback.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from statistics import quantiles

import defopt
import urllib3

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, LocalFleet
from mulberryhub.external.log import LogClient, OffsetExpired
from mulberryhub.orders.at_most_once import PARTITION_COUNT
from mulberryhub.orders.idempotency import new_idempotency_key

API_KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
AT_MOST_ONCE_PATH = "/orders"
IDEMPOTENT_PATH = "/stock"


def add_services(local_fleet):
    """Start a service and return it and an inventory with two routes to it.

    One route is at most once, the other idempotent.
    """
    worker = local_fleet.process_group.start("mulberryhub.standins.service")
    document = local_fleet.inventory()
    document["upstreams"].append(
        {
            "id": "worker",
            "kind": "service",
            "data_centre": "bangkok-1",
            "address": worker.address,
        }
    )
    document["routes"] = [
        {"path": AT_MOST_ONCE_PATH, "upstreams": ["worker"], "idempotent": False},
        {"path": IDEMPOTENT_PATH, "upstreams": ["worker"]},
    ]
    return worker, document


class LoadGenerator:
    """Sends calls to the addresses in round robin, `concurrency` at a time."""

    def __init__(self, addresses, concurrency):
        self.addresses = addresses
        self.concurrency = concurrency
        self.pool = urllib3.PoolManager(maxsize=concurrency, retries=False)
        self.call_numbers = count()

    def call(self, path):
        """Send one call and return its time in ms.

        Raise RuntimeError unless the status of the response is 201.
        """
        address = self.addresses[next(self.call_numbers) % len(self.addresses)]
        headers = {
            "X-Api-Key": API_KEY,
            "Idempotency-Key": new_idempotency_key(time.time_ns() // 1_000_000),
        }
        started = time.monotonic()
        response = self.pool.request(
            "POST", f"http://{address}{path}", headers=headers, json={"part": "seal"}
        )
        if response.status != 201:
            raise RuntimeError(
                f"{address} returned status {response.status}: {response.data}"
            )
        return (time.monotonic() - started) * 1000

    def run(self, path, calls):
        """Send `calls` calls after a warm-up; return rate and percentiles of times."""
        with ThreadPoolExecutor(self.concurrency) as threads:
            list(threads.map(self.call, [path] * self.concurrency))
            started = time.monotonic()
            times = list(threads.map(self.call, [path] * calls))
            elapsed = time.monotonic() - started
        percentiles = quantiles(times, n=100)
        return {
            "concurrency": self.concurrency,
            "calls_per_second": round(calls / elapsed, 1),
            "p50_ms": round(percentiles[49], 2),
            "p95_ms": round(percentiles[94], 2),
            "p99_ms": round(percentiles[98], 2),
        }


def measure_claim_log(address):
    """Return the number of claim records and the bytes of JSON to read them all."""
    client = LogClient(address)
    records = size = 0
    for index in range(PARTITION_COUNT):
        try:
            page = client.read(f"claims-{index}", 0, 500)
        except OffsetExpired:
            continue
        records += len(page.records)
        size += sum(
            len(
                json.dumps(
                    {"offset": record.offset, "time": record.time, "payload": ""}
                )
            )
            + 4 * -(-len(record.payload) // 3)
            for record in page.records
        )
    return records, size


def run(*, calls: int = 400):
    """Measure direct, idempotent and at-most-once calls and print the results.

    :param calls: number of calls in each measurement
    """
    with LocalFleet(routers=3, engines=0, services=False) as local_fleet:
        worker, document = add_services(local_fleet)
        routers = list(local_fleet.routers_by_id.values())
        apply_inventory(routers[0], document)
        wait_until_ready(routers)
        addresses = [router.address for router in routers]
        result = {
            "direct": LoadGenerator([worker.address], 1).run(AT_MOST_ONCE_PATH, calls)
        }
        result["idempotent"] = LoadGenerator(addresses, 1).run(IDEMPOTENT_PATH, calls)
        result["once"] = [
            LoadGenerator(addresses, concurrency).run(AT_MOST_ONCE_PATH, calls)
            for concurrency in (1, 8, 32)
        ]
        records, size = measure_claim_log(local_fleet.log.address)
        result["claim_records"] = records
        result["bytes_per_record"] = round(size / records)
        print(json.dumps(result, indent=2))


if __name__ == "__main__":
    defopt.run(run)
