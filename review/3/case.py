"""Long requests that come at once take a router over its memory limit."""

import asyncio

from review.harness.client import KeptConnection
from review.harness.config import HOST, make_config, make_tenant, plain_headers
from review.harness.http_server import respond
from review.harness.routers import RouterGroup, resident_mb
from review.harness.script import has_trouble, run_case
from review.harness.store import OPERATOR_TOPIC, Store
from review.harness.worker import ATTEMPT_ID, SEAL, Worker

KEY = "wu3fexd9dnn2ctnfzs98"
MEMORY_MB = 150
BODY_BYTES = 4_194_304  # maxBodyBytes of the configuration
LONG_CLIENTS = 48
LONG_CLIENTS_WITHOUT_TROUBLE = 4
ORDER_CLIENTS = 24
ORDER_WORK_S = 0.3
LONG_WORK_S = 0.6
ORDERS_BEFORE_S = 1
WATCH_S = 6
CHECK_S = 0.005
MAX_LOST = 3


async def watch_memory(record, router):
    """Kill a router once it exceeds its memory limit, as the platform does."""
    highest = 0
    try:
        while True:
            highest = max(highest, resident_mb(router.popen.pid))
            if highest > MEMORY_MB:
                router.end()
                record.write(f"{router.name} uses {highest:.0f} MB: it is killed")
                return True
            await asyncio.sleep(CHECK_S)
    finally:
        record.write(f"highest use of memory: {highest:.0f} of {MEMORY_MB} MB")


async def answer_slowly(worker, request, writer):
    """Answer after the time that the request's path asks for."""
    id = request.headers["x-mulberryhub-attempt-id"]
    await asyncio.sleep(LONG_WORK_S if id.startswith("long") else ORDER_WORK_S)
    headers = [(ATTEMPT_ID, id), (SEAL, f"seal.{worker.id}.{id}")]
    respond(writer, 200, b"done " + id.encode(), headers)
    return True


async def send_orders(router, client, answers_by_id):
    """Send orders on one kept connection until it ends."""
    connection = KeptConnection(router)
    number = 0
    while True:
        id = f"order-{client}-{number}"
        headers = plain_headers(id, KEY)
        answer = await connection.ask("POST", "/order/1", HOST, headers, b"order")
        answers_by_id[id] = answer
        if answer.status is None:
            return
        number += 1


async def send_long(router, number):
    """Send a request with the longest body that the configuration allows."""
    headers = plain_headers(f"long-{number}", KEY, 8_000)
    connection = KeptConnection(router)
    return await connection.ask(
        "POST", "/order/long/1", HOST, headers, bytes(BODY_BYTES), timeout=10
    )


async def case(record):
    """Send orders, then long requests at once; count the orders that are lost."""
    store = Store()
    await store.start()
    workers = [Worker(store, f"i-{n}", "desk", "bkk-a") for n in range(3)]
    for worker in workers:
        worker.on_run = answer_slowly
        await worker.start()
    group = RouterGroup()
    tasks = []
    try:
        config = make_config(7, [make_tenant("sese880", KEY)])
        long_route = dict(config["routes"][0])
        long_route.update(name="long", pathPrefix="/order/long/", timeoutMs=8_000)
        config["routes"].append(long_route)
        store.write(OPERATOR_TOPIC, "config", config)
        router = group.add("edge-bkk-a-1", "bkk-a", "127.0.0.2", store.address)
        router.start()
        await router.wait_until_ready()
        await asyncio.sleep(3)
        watch = asyncio.create_task(watch_memory(record, router))
        tasks.append(watch)
        answers_by_id = {}
        for client in range(ORDER_CLIENTS):
            orders = send_orders(router, client, answers_by_id)
            tasks.append(asyncio.create_task(orders))
        await asyncio.sleep(ORDERS_BEFORE_S)
        count = LONG_CLIENTS if has_trouble() else LONG_CLIENTS_WITHOUT_TROUBLE
        record.write(f"{count} clients send {BODY_BYTES} bytes each")
        for number in range(count):
            tasks.append(asyncio.create_task(send_long(router, number)))
        await asyncio.wait([watch], timeout=WATCH_S)
        await asyncio.sleep(0.5)
        ran_ids = {id for worker in workers for _, id, _ in worker.runs}
        lost_ids = [
            id
            for id, answer in answers_by_id.items()
            if answer.status is None and id in ran_ids and not id.endswith("-0")
        ]
        answered = sum(answer.status == 200 for answer in answers_by_id.values())
        record.write(f"{answered} orders answered with 200")
        for id in lost_ids:
            record.write(f"{id}: run by a worker, connection closed unanswered")
        record.write(f"{len(lost_ids)} orders lost, {MAX_LOST} allowed")
        return len(lost_ids) > MAX_LOST
    finally:
        for task in tasks:
            task.cancel()
        group.close()


run_case(__file__, case)
