"""A tenant sends many times its usual while all processes of the system are killed."""

import asyncio
import random
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
    prompt_fields,
    run_case,
    stream_route,
)

WINDOW_S = 8
OVERAGE = 0.1
SLACK = 110_000
BOUNDS = {
    "contactMs": 3000,
    "graceS": 8,
    "quotaWindowS": WINDOW_S,
    "quotaOverage": OVERAGE,
    "quotaSlack": SLACK,
}
DEADLINE_MS = 4_000
WORKER_COUNT = 9
PROMPT_TOKENS = 9_190
OUTPUT_TOKENS = 30
COST = PROMPT_TOKENS + OUTPUT_TOKENS
RATE_PER_S = 150_000  # tokens of the tenant, as its burst
USUAL_PER_S = RATE_PER_S / 1.8 / COST  # requests
HOT_FACTOR = 7.5  # times its usual, the largest of the site file
LEAD_S = 12.0  # from the start of the machines to that of the traffic
USUAL_S = 0.5  # from the start of the traffic until the tenant sends more
KILL_AFTER_S = 2.3  # in which the tenant has used its limit
DOWN_S = 0.3  # a short delay, after which a killed process starts again
FLOOD_S = 6.5  # the length in the site file
AFTERWARDS_S = 4.0  # in which the tenant sends its usual again

CONFIG = make_config(
    [stream_route("catalogue-match", "lm-pool", DEADLINE_MS)],
    [model_service("lm-pool")],
    {"ratePerS": RATE_PER_S, "burst": RATE_PER_S},
)


class Play:
    """The requests that were sent and that ran, with their times."""

    def __init__(self, lab):
        self.lab = lab
        self.sent_at = {}
        self.runs = []
        self.statuses = {}
        self.tasks = set()

    def on_run(self, worker, message):
        """Note when a request arrived at a worker that runs it."""
        id = message.headers["x-mulberryhub-attempt-id"]
        self.runs.append((time.monotonic(), self.sent_at[id]))

    async def send(self):
        """Send one request to a random router, and count how it ended."""
        id = f"r{len(self.sent_at):07x}"
        self.sent_at[id] = time.monotonic()
        fields = prompt_fields(DEADLINE_MS, PROMPT_TOKENS, OUTPUT_TOKENS)
        request = encode_request("POST", "/catalogue-match/a/", id, fields, b"{}")
        router = random.choice(self.lab.routers)
        status, _ = await ask(router.front, request, 6)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def send_at_rate(self, per_s, duration):
        """Send `per_s` requests a second for `duration` seconds."""
        started = time.monotonic()
        for number in range(int(per_s * duration)):
            wait = started + number / per_s - time.monotonic()
            await asyncio.sleep(max(0, wait))
            self.tasks.add(asyncio.create_task(self.send()))

    def most_in_window(self):
        """Return the most tokens sent and run in a window, and its first time."""
        most, first = 0, 0
        for _, start in self.runs:
            count = sum(
                sent >= start and arrived <= start + WINDOW_S
                for arrived, sent in self.runs
            )
            if count > most:
                most, first = count, start
        return most * COST, first


async def case(has_trouble):
    """Return whether QUOTA held."""
    lab = Lab(FOLDER, BOUNDS)
    try:
        return await play(lab, has_trouble)
    finally:
        lab.end()


async def play(lab, has_trouble):
    """Flood the routers and kill them meanwhile; return whether QUOTA held."""
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
    await asyncio.sleep(LEAD_S)
    await state.send_at_rate(USUAL_PER_S, USUAL_S)
    started = time.monotonic()
    lab.record.add("the tenant sends many times its usual")
    rate = HOT_FACTOR * USUAL_PER_S
    flood = asyncio.create_task(state.send_at_rate(rate, FLOOD_S))
    if has_trouble:
        await asyncio.sleep(KILL_AFTER_S)
        lab.record.add("SIGKILL of all routers")
        for router in lab.routers:
            router.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for router in lab.routers:
            router.popen.wait()
            router.start()
        lab.record.add("all routers start again")
    await flood
    await state.send_at_rate(USUAL_PER_S, AFTERWARDS_S)
    await asyncio.gather(*state.tasks)
    return judge(lab, state, started)


def judge(lab, state, started):
    """Return whether QUOTA held, with the reason in the record."""
    limit = RATE_PER_S * WINDOW_S + RATE_PER_S
    bound = limit * (1 + OVERAGE) + SLACK
    most, first = state.most_in_window()
    lab.record.add(f"answers by status (0: none): {state.statuses}")
    lab.record.add(f"requests sent {len(state.sent_at)}, run {len(state.runs)}")
    lab.record.add(
        f"most in {WINDOW_S} s: {most} tokens, from {first - started:.2f} s after the "
        f"tenant began to send more; allowed: {bound:.0f}"
    )
    held = most <= bound
    lab.record.add("QUOTA held" if held else "QUOTA is broken")
    return held


if __name__ == "__main__":
    run_case(FOLDER, case)
