"""A router that is killed lets a cut answer without framing look complete."""

import asyncio
import signal

from review.harness.client import ask
from review.harness.config import (
    HOST,
    MODEL,
    chat_headers,
    make_config,
    make_tenant,
)
from review.harness.routers import RouterGroup
from review.harness.script import has_trouble, run_case
from review.harness.store import OPERATOR_TOPIC, Store
from review.harness.worker import Worker

KEY = "wu3fexd9dnn2ctnfzs98"
EVENT_COUNT = 49
EVENT_GAP_S = 0.02
KILL_AFTER_S = 0.5
CLIENTS = 4


async def case(record):
    """Kill a router in the middle of its answers; see what its clients read."""
    store = Store()
    await store.start()
    workers = [
        Worker(store, f"i-{n}", "lm", zone, model=MODEL)
        for n, zone in enumerate(("bkk-a", "bkk-b"))
    ]
    for worker in workers:
        worker.event_count = EVENT_COUNT
        worker.event_gap_s = EVENT_GAP_S
        worker.is_framed = False
        await worker.start()
    group = RouterGroup()
    try:
        tenants = [make_tenant("sese880", KEY)]
        store.write(OPERATOR_TOPIC, "config", make_config(7, tenants))
        router = group.add("edge-bkk-a-1", "bkk-a", "127.0.0.2", store.address)
        router.start()
        await router.wait_until_ready()
        await asyncio.sleep(2)
        asked = [
            asyncio.create_task(
                ask(router, "POST", "/chat/1", HOST, chat_headers(f"id-{n}", KEY))
            )
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(KILL_AFTER_S)
        if has_trouble():
            router.signal(signal.SIGKILL)
            record.write(f"SIGKILL to {router.name}")
        answers = await asyncio.gather(*asked)
        false_ends = 0
        for number, answer in enumerate(answers):
            whole = answer.body.count(b"\n\n") == EVENT_COUNT
            record.write(
                f"id-{number}: status {answer.status}, "
                f"headers {sorted(answer.headers)}, "
                f"{answer.body.count(b'id:')} of {EVENT_COUNT} events, "
                f"end: {answer.end}"
            )
            if answer.status == 200 and answer.looks_complete and not whole:
                false_ends += 1
        if not has_trouble() and any(answer.end == "cut" for answer in answers):
            raise RuntimeError("an answer was cut without a disruption")
        record.write(f"{false_ends} cut answers look complete")
        return false_ends > 0
    finally:
        group.close()


run_case(__file__, case)
