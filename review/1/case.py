"""After the last keys were taken away, requests without a valid key are served."""

import asyncio

from review.harness.client import ask
from review.harness.config import HOST, make_config, make_tenant, plain_headers
from review.harness.routers import RouterGroup
from review.harness.script import has_trouble, run_case
from review.harness.store import OPERATOR_TOPIC, Store
from review.harness.worker import Worker

CONFIG_APPLY_S = 2
AFTER_BOUND_S = 1
KEY_A = "wu3fexd9dnn2ctnfzs98"
KEY_B = "9anu6wsjnbanfqasnmgk"
KEY_NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
ZONES = ("bkk-a", "bkk-b", "bkk-c")
PATHS = (("POST", "/order/1"), ("GET", "/read/1"))


async def send_all(record, routers, workers, name, key):
    """Send a request per router and route; return (status, has run) of each."""
    outcomes = []
    for router in routers:
        for method, path in PATHS:
            id = f"{name}-{router.name}-{method.lower()}"
            headers = plain_headers(id, key)
            answer = await ask(router, method, path, HOST, headers)
            runs = [
                (worker.id, request.headers.get("x-mulberryhub-tenant"))
                for worker in workers
                for _, run_id, request in worker.runs
                if run_id == id
            ]
            record.write(
                f"sent {id} with key {key}: answer {answer.status}, "
                f"runs (worker, tenant): {runs}"
            )
            outcomes.append((answer.status, bool(runs)))
    return outcomes


async def case(record):
    """Take away the keys one by one, then send requests with keys no longer held."""
    store = Store()
    await store.start()
    workers = [Worker(store, f"i-{n}", "desk", ZONES[n]) for n in range(2)]
    for worker in workers:
        await worker.start()
    group = RouterGroup()
    try:
        tenants = [make_tenant("sese880", KEY_A), make_tenant("tano771", KEY_B)]
        store.write(OPERATOR_TOPIC, "config", make_config(7, tenants))
        routers = [
            group.add(f"edge-{zone}-1", zone, f"127.0.0.{index + 2}", store.address)
            for index, zone in enumerate(ZONES)
        ]
        for router in routers:
            router.start()
        for router in routers:
            await router.wait_until_ready()
        await asyncio.sleep(3)
        before = await send_all(record, routers, workers, "before", KEY_B)
        if any(outcome != (200, True) for outcome in before):
            raise RuntimeError("the deployment does not serve")
        if has_trouble():
            tenants = [make_tenant("sese880"), make_tenant("tano771", KEY_B)]
            store.write(OPERATOR_TOPIC, "config", make_config(9, tenants))
            record.write("configuration 9 acknowledged: the key of sese880 is gone")
            await asyncio.sleep(1)
            tenants = [make_tenant("sese880"), make_tenant("tano771")]
            store.write(OPERATOR_TOPIC, "config", make_config(12, tenants))
            record.write("configuration 12 acknowledged: the key of tano771 is gone")
        await asyncio.sleep(CONFIG_APPLY_S + AFTER_BOUND_S)
        unknown = await send_all(record, routers, workers, "unknown", KEY_NEVER_HELD)
        broken = [outcome for outcome in unknown if outcome[1]]
        if has_trouble():
            revoked = await send_all(record, routers, workers, "revoked", KEY_B)
            broken += [outcome for outcome in revoked if outcome[1]]
        else:
            held = await send_all(record, routers, workers, "held", KEY_B)
            if any(outcome != (200, True) for outcome in held):
                raise RuntimeError("a key that is held is refused")
        record.write(f"{len(broken)} requests ran without a key that is held")
        return bool(broken)
    finally:
        group.close()


run_case(__file__, case)
