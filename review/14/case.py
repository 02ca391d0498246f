"""A tenant that floods while no worker answers, and its limit eight seconds later."""

import asyncio
import time
from pathlib import Path

from lab_3 import (
    Client,
    call_headers,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

WORKER_COUNT = 5
WORK_S = 0.02
RATE = 100_000  # tokens a second; the burst is as much
TOKENS = 9_190  # of a request, the mean of catalogue-match
USUAL_PER_S = 6  # requests: the rate / 1.8
HOT_FACTOR = 7.5
WINDOW_S = 8
OVERAGE = 0.1
SLACK = 110_000
CALM_S = 10  # before the floods
FLOODS = ((0.0, 6.0), (8.1, 11.0))  # s after the begin of the first
DARK = (0.2, 3.0)  # s, in which no worker answers
END_S = 12.5
TIMEOUT_MS = 4_000


class Flood:
    """The requests of the tenant, with the time at which each was sent."""

    def __init__(self, lab, router):
        self.sent_at_by_id = {}
        self.statuses = {}
        self._lab = lab
        self._router = router

    async def send(self, id):
        """Send one request on a connection of its own."""
        self.sent_at_by_id[id] = time.monotonic()
        headers = call_headers(id, TIMEOUT_MS)
        headers["X-Mulberryhub-Token-Count"] = f"{TOKENS},0"
        try:
            client = await Client.open(self._router.front)
            answer = await client.ask("GET", "/stock/x", headers)
            client.close()
        except OSError:
            answer = None
        status = "none" if answer is None else answer.status
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._lab.record.write(f"client sent {id}: answer {status}")


def most_in_window(runs, sent_at_by_id):
    """Return the most tokens that were sent and ran in a window, and its begin."""
    best = (0, 0)
    for _, first in runs:
        begin = sent_at_by_id[first]
        count = sum(
            at < begin + WINDOW_S and sent_at_by_id[id] >= begin for at, id in runs
        )
        best = max(best, (count * TOKENS, begin))
    return best


async def switch_workers(lab, started):
    """Make all workers dark for a while."""
    await asyncio.sleep(started + DARK[0] - time.monotonic())
    lab.record.write("all workers go dark")
    for worker in lab.workers:
        worker.go_dark()
    await asyncio.sleep(started + DARK[1] - time.monotonic())
    for worker in lab.workers:
        await worker.come_back()
    lab.record.write("all workers are back")


async def play(lab):
    """Return whether the rule held."""
    await lab.add_workers(WORKER_COUNT, WORK_S)
    route = make_route("stock", "/stock/", "idempotent", TIMEOUT_MS)
    lab.configure(make_configuration(7, [route], RATE))
    router = await lab.add_router()
    flood = Flood(lab, router)
    began = time.monotonic()
    started = began + CALM_S
    if has_trouble():
        lab.spawn(switch_workers(lab, started))
    sends = []
    while (now := time.monotonic()) < started + END_S:
        elapsed = now - started
        is_hot = any(begin <= elapsed < end for begin, end in FLOODS)
        sends.append(lab.spawn(flood.send(f"t-{len(sends)}")))
        await asyncio.sleep(1 / (USUAL_PER_S * (HOT_FACTOR if is_hot else 1)))
    await asyncio.gather(*sends)
    runs = sorted(sum((worker.run_times for worker in lab.workers), []))
    most, begin = most_in_window(runs, flood.sent_at_by_id)
    allowed = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
    lab.record.write(
        f"answers by status {flood.statuses}; most tokens in a window of {WINDOW_S} s:"
        f" {most}, from {begin - started:.2f} s on; allowed: {allowed:.0f}"
    )
    return most <= allowed


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
