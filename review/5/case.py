"""Members that were removed for good keep their successors from new configurations."""

import asyncio
import os
import signal
import time

from review.harness.client import ask
from review.harness.config import HOST, make_config, make_tenant, plain_headers
from review.harness.routers import RouterGroup, unresponsive_listener
from review.harness.script import has_trouble, run_case
from review.harness.store import OPERATOR_TOPIC, Store
from review.harness.worker import Worker

REMOVED = int(os.environ.get("REMOVED", "60"))
ZONE = "bkk-a"
CONTACT_S = 3
CONFIG_APPLY_S = 2
KEYS = 90
GAP_S = 0.33
PROBE_DELAYS_S = (2.01, 2.04, 2.08, 2.12, 2.2, 2.4)


def config_with(version, first_key):
    """Return a configuration whose tenant has lost the keys before `first_key`."""
    keys = [f"key{number}" for number in range(first_key, KEYS + 1)]
    return make_config(version, [make_tenant("sese880", *keys)])


async def probe(record, router, number, acked_at, delay, late):
    """Use a key that was taken away; add the outcome to `late` if it is served."""
    await asyncio.sleep(acked_at + delay - time.monotonic())
    id = f"probe-{number}-{router.name}-{round(delay * 1000)}"
    sent_at = time.monotonic()
    headers = plain_headers(id, f"key{number}")
    answer = await ask(router, "GET", "/read/x", HOST, headers)
    if answer.status != 401:
        late.append(id)
        record.write(
            f"{id}: sent {sent_at - acked_at:.3f} s after the acknowledgement that "
            f"took its key away: status {answer.status}"
        )


async def case(record):
    """Replace machines, then take keys away one by one and use them."""
    store = Store()
    await store.start()
    worker = Worker(store, "i-0", "desk", ZONE)
    await worker.start()
    group = RouterGroup()
    listeners = []
    try:
        store.write(OPERATOR_TOPIC, "config", config_with(7, 0))
        if has_trouble():
            removed = [
                group.add(f"edge-bkk-a-{n:02}", ZONE, f"127.0.1.{n}", store.address)
                for n in range(1, REMOVED + 1)
            ]
            for router in removed:
                router.start()
            for router in removed:
                await router.wait_until_ready()
            await asyncio.sleep(5)
            for router in removed:
                router.signal(signal.SIGKILL)
            for router in removed:
                router.end()
                listeners += unresponsive_listener(router.ip, router.control)
            record.write(f"{len(removed)} machines removed for good")
        routers = [
            group.add(f"edge-bkk-a-{n:02}", ZONE, f"127.0.1.{n}", store.address)
            for n in range(REMOVED + 1, REMOVED + 4)
        ]
        for router in routers:
            router.start()
        for router in routers:
            await router.wait_until_ready()
        record.write("the machines that replace them are ready")
        await asyncio.sleep(CONTACT_S + 0.2)
        late = []
        probes = []
        for number in range(KEYS):
            store.write(OPERATOR_TOPIC, "config", config_with(8 + number, number + 1))
            acked_at = time.monotonic()
            probes += [
                asyncio.create_task(
                    probe(record, router, number, acked_at, delay, late)
                )
                for router in routers
                for delay in PROBE_DELAYS_S
            ]
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*probes)
        record.write(f"{len(late)} of {len(probes)} requests ran with a dropped key")
        return bool(late)
    finally:
        for item in listeners:
            item.close()
        group.close()


run_case(__file__, case)
