"""A request that crashes the workers that run it, and comes again and again."""

import asyncio
import random
import time

from lab import (
    MODEL,
    answer_streams,
    ask,
    encode_request,
    make_config,
    model_service,
    prompt_fields,
    stream_route,
)

CONTACT_S = 3.0
BOUNDS = {"contactMs": 3000, "graceS": 8, "retrySlack": 58, "retryBudgetRatio": 0.2}
DEADLINE_MS = 4_000
WORKER_COUNT = 10
EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.06
REQUESTS_PER_S = 25
SETTLE_S = 6.0
INTERVAL_S = 5.0  # between two times that the request comes
DOWN_S = 3.0  # until a worker that it crashed is back
BODY = b"the request that crashes its workers"
ALLOWED_LATE_RETRIES = 3

CONFIG = make_config(
    [stream_route("catalogue-match", "lm-pool", DEADLINE_MS)],
    [model_service("lm-pool")],
)


class Poison:
    """Sends the request that crashes its workers, beside other requests."""

    def __init__(self, lab):
        self.lab = lab
        self._crashes = []
        self._statuses = {}
        self._number = 0
        self._tasks = set()

    async def start(self):
        """Start the stand-ins and the routers, and send other requests."""
        lab = self.lab
        await lab.store.start()
        answer = answer_streams(EVENT_COUNT, EVENT_INTERVAL_S, 60)
        for number in range(WORKER_COUNT):
            zone = f"bkk-{'abc'[number % 3]}"
            worker = await lab.add_worker(f"i{number}", "lm-pool", zone, answer, 1)
            worker.on_run = self._crash_on_run
        lab.store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": 1})
        lab.store.put("keyed.op", "config", CONFIG)
        lab.add_routers(["bkk-a", "bkk-b", "bkk-c"])
        await lab.wait_until_ready()
        self.run(self._send_others())
        await asyncio.sleep(SETTLE_S)

    def run(self, task):
        """Run `task` until the case ends."""
        self._tasks.add(asyncio.create_task(task))

    async def send_once(self):
        """Send the request through a random router; return INTERVAL_S later."""
        started = time.monotonic()
        name, id, status = await self._send(BODY, "/catalogue-match/poison/")
        self.lab.record.add(f"poisonous request {id} by {name}: {status or 'cut'}")
        await asyncio.sleep(max(0, INTERVAL_S - time.monotonic() + started))

    def judge(self):
        """Return whether BUDGET held, with the reason in the record."""
        for task in self._tasks:
            task.cancel()
        record, crashes = self.lab.record, self._crashes
        record.add(f"answers by status (0: none): {self._statuses}")
        record.add(f"the poisonous request reached workers {len(crashes)} times")
        late = [at for at in crashes[3:] if at > crashes[2] + CONTACT_S]
        record.add(f"later than contactMs after the third crash: {len(late)}")
        held = len(late) <= ALLOWED_LATE_RETRIES
        record.add("BUDGET held" if held else "BUDGET is broken")
        return held

    def _crash_on_run(self, worker, message):
        """Crash the worker if it begins to run the poisonous request."""
        if message.body == BODY:
            self._crashes.append(time.monotonic())
            self.lab.record.add(f"{worker.id} begins the poisonous request and crashes")
            worker.crash(DOWN_S)

    async def _send(self, body, path):
        """Send one request to a random router, and count how it ended."""
        self._number += 1
        router = random.choice(self.lab.routers)
        id = f"r{self._number:07x}"
        fields = prompt_fields(DEADLINE_MS, 1_200, 30)
        request = encode_request("POST", path, id, fields, body)
        status, _ = await ask(router.front, request, 6)
        self._statuses[status] = self._statuses.get(status, 0) + 1
        return router.name, id, status

    async def _send_others(self):
        while True:
            body = b"note %d" % random.getrandbits(48)
            self.run(self._send(body, "/catalogue-match/a/"))
            await asyncio.sleep(1 / REQUESTS_PER_S)
