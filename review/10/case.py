"""A router that is cut off from the store while workers leave, and is back in touch."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import (  # noqa: E402
    MODEL,
    Lab,
    answer_streams,
    ask,
    encode_request,
    make_config,
    model_service,
    new_part,
    prompt_fields,
    run_case,
    stream_route,
)

CONTACT_S = 3.0
DRAIN_S = 2.0
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000, "graceS": 8}
DEADLINE_MS = 4_000
WORKER_COUNT = 4
REQUESTS_PER_S = 40
SETTLE_S = 6.0
CUT_S = 5.5  # the length in the site file
LEAVES_AFTER_S = 0.5  # from the start of a cut
SERVES_ON_S = 12.0  # after its entry was removed
CUT_COUNT = 4

CONFIG = make_config(
    [stream_route("catalogue-match", "lm-pool", DEADLINE_MS)],
    [model_service("lm-pool")],
)


class Play:
    """The requests of the only router that is left, and where they ran."""

    def __init__(self, lab):
        self.lab = lab
        self.sent_at = {}
        self.runs = []
        self.statuses = {}
        self.tasks = set()

    def on_run(self, worker, message):
        """Note when a request arrived at a worker."""
        id = message.headers["x-mulberryhub-attempt-id"]
        self.runs.append((time.monotonic(), worker, id))

    async def send_requests(self, router):
        """Send requests to `router` until cancelled."""
        while True:
            self.tasks.add(asyncio.create_task(self._send(router)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, router):
        id = f"r{len(self.sent_at):07x}"
        self.sent_at[id] = time.monotonic()
        fields = prompt_fields(DEADLINE_MS, 1_200, 30)
        fields[-1] = (fields[-1][0], f"{new_part()}:198,{new_part()}:1002")
        request = encode_request("POST", "/catalogue-match/a/", id, fields, b"{}")
        status, _ = await ask(router.front, request, 6)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def late_runs(self, worker, since):
        """Return the requests that a worker got though they were sent after `since`."""
        return [
            (self.sent_at[id], at)
            for at, place, id in self.runs
            if place is worker and self.sent_at[id] > since
        ]


async def case(has_trouble):
    """Return whether DRAIN held."""
    lab = Lab(FOLDER, BOUNDS)
    try:
        return await play(lab, has_trouble)
    finally:
        lab.end()


async def play(lab, has_trouble):
    """Let workers leave during cuts, and return whether DRAIN held."""
    await lab.store.start()
    state = Play(lab)
    for number in range(WORKER_COUNT):
        zone = f"bkk-{'abc'[number % 3]}"
        answer = answer_streams(3, 0.01, 60)
        worker = await lab.add_worker(f"i{number}", "lm-pool", zone, answer, 1)
        worker.on_run = state.on_run
    lab.store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": 1})
    lab.store.put("keyed.op", "config", CONFIG)
    lab.add_routers(["bkk-a", "bkk-b", "bkk-c"])
    await lab.wait_until_ready()
    await asyncio.sleep(2)
    for router in lab.routers[1:]:
        router.send_signal(signal.SIGKILL)
        lab.record.add(f"{router.name} is lost for good")
    requests = asyncio.create_task(state.send_requests(lab.routers[0]))
    await asyncio.sleep(SETTLE_S)
    late = 0
    for number in range(CUT_COUNT):
        late += await cut_once(lab, state, lab.workers[number], has_trouble)
    requests.cancel()
    await asyncio.gather(*state.tasks, return_exceptions=True)
    lab.record.add(f"answers by status (0: none): {state.statuses}")
    lab.record.add(f"requests to workers that had left, by a machine in touch: {late}")
    held = not late
    lab.record.add("DRAIN held" if held else "DRAIN is broken")
    return held


async def cut_once(lab, state, worker, has_trouble):
    """Let a worker leave during a cut; return the number of late requests to it."""
    started = time.monotonic()
    if has_trouble:
        lab.store.cut()
    await asyncio.sleep(LEAVES_AFTER_S)
    worker.leave()
    left_at = time.monotonic()
    lab.record.add(f"{worker.id} leaves: its entry is removed")
    await asyncio.sleep(max(0, started + CUT_S - time.monotonic()))
    healed_at = time.monotonic() if has_trouble else started
    if has_trouble:
        await lab.store.start()
        lab.record.add("the router reaches the store again")
    await asyncio.sleep(max(0, left_at + SERVES_ON_S - time.monotonic()))
    in_touch_at = max(left_at + DRAIN_S, healed_at + CONTACT_S)
    late = state.late_runs(worker, in_touch_at)
    if late:
        last = max(sent for sent, _ in late)
        lab.record.add(
            f"{worker.id} got {len(late)} requests sent later than contactMs after "
            f"that, the last {last - healed_at:.2f} s after it and "
            f"{last - left_at:.2f} s after its entry was removed"
        )
    await worker.replace()
    await asyncio.sleep(2)
    return len(late)


if __name__ == "__main__":
    run_case(FOLDER, case)
