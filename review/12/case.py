"""Requests that last longer than the timeout of their route, after it was lowered."""

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

CALLER_COUNT = 12  # each with one kept connection
ROUND_COUNT = 2  # requests of each caller after the change
WORK_S = 0.9  # of a sound worker for a request to the slow route
QUICK_WORK_S = 0.02
TIMEOUT_MS = 4_000
LOWERED_TIMEOUT_MS = 500
DEADLINE_MS = 4_000  # of the clients
APPLY_S = 2.0  # configApplyMs
ANSWER_MARGIN_S = 0.5  # after the timeout, by which an answer is due
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.25
MAX_LOST = 3


class Outcome:
    """What one client saw of one request, and when."""

    def __init__(self, id, is_kept, answer, duration):
        self.id = id
        self.is_kept = is_kept
        self.answer = answer
        self.duration = duration

    @property
    def is_answered(self):
        """Return whether a whole answer came."""
        return self.answer is not None and self.answer.is_whole


async def ask(lab, client, path, id):
    """Send a request on a kept connection and return the Outcome."""
    is_kept = client.answer_count > 0
    started = time.monotonic()
    answer = await client.ask("GET", path, call_headers(id, DEADLINE_MS))
    outcome = Outcome(id, is_kept, answer, time.monotonic() - started)
    seen = "closed without an answer" if answer is None else answer.status
    lab.record.write(
        f"client sent {id}, kept connection: {is_kept}, after"
        f" {outcome.duration:.3f} s: {seen}; runs: {lab.runs(id)}"
    )
    return outcome


async def call(lab, router, number):
    """Return the Outcomes of one caller after the change."""
    await lab.changed.wait()
    outcomes = []
    for turn in range(ROUND_COUNT):
        client = await Client.open(router.front)
        await ask(lab, client, "/quick/x", f"quick-{number}-{turn}")
        outcomes.append(await ask(lab, client, "/stock/x", f"slow-{number}-{turn}"))
        client.close()
    return outcomes


def make_routes(timeout_ms):
    """Return the routes, of which the slow one has this timeout."""
    return [
        make_route("quick", "/quick/", "idempotent", TIMEOUT_MS),
        make_route("stock", "/stock/", "idempotent", timeout_ms),
    ]


async def play(lab):
    """Return whether the rules held."""
    lab.changed = asyncio.Event()
    await lab.add_workers(3, WORK_S)
    for worker in lab.workers:
        worker.work_s_by_prefix["/quick/"] = QUICK_WORK_S
    lab.configure(make_configuration(7, make_routes(TIMEOUT_MS)))
    router = await lab.add_router()
    callers = [lab.spawn(call(lab, router, item)) for item in range(CALLER_COUNT)]
    await asyncio.sleep(4)  # the machine has been in touch for contactMs
    timeout_ms = LOWERED_TIMEOUT_MS if has_trouble() else TIMEOUT_MS
    lab.configure(make_configuration(9, make_routes(timeout_ms)))
    await asyncio.sleep(APPLY_S + 0.5)
    lab.changed.set()
    outcomes = sum(await asyncio.gather(*callers), [])
    due_s = timeout_ms / 1000 + ANSWER_MARGIN_S
    late = [item for item in outcomes if not item.is_answered or item.duration > due_s]
    lost = [
        item.id
        for item in outcomes
        if item.is_kept and not item.is_answered and lab.runs(item.id)
    ]
    lab.record.write(
        f"requests after the change {len(outcomes)}; without an answer {due_s:.1f} s"
        f" after they were sent {len(late)}; from kept connections, run by sound"
        f" workers and closed without an answer {len(lost)}"
    )
    is_config_broken = len(late) >= MIN_UNANSWERED and len(
        late
    ) > UNANSWERED_SHARE * len(outcomes)
    lab.record.write(f"CONFIG broken: {is_config_broken}")
    lab.record.write(f"LOST broken: {len(lost) > MAX_LOST}")
    return not is_config_broken and len(lost) <= MAX_LOST


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
