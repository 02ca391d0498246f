"""A planned stop while clients read their streams slowly."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import (  # noqa: E402
    MODEL,
    Lab,
    answer_streams,
    encode_request,
    make_config,
    model_service,
    prompt_fields,
    run_case,
    stream_route,
)

BOUNDS = {"graceS": 8, "contactMs": 4000, "configApplyMs": 3000, "drainMs": 3000}
DEADLINE_MS = 15_000
EVENT_COUNT = 120  # at most 159 on the sheet
EVENT_BYTES = 340  # at most 360 on the sheet
EVENT_INTERVAL_S = 0.015
CLIENTS = 6  # of each router
RECEIVE_BUFFER_BYTES = 4_096
PAUSE_S = 2.0  # for which a slow client reads nothing
SETTLE_S = 6.0  # contactMs and more, before the requests
STOP_AFTER_S = 0.5

CONFIG = make_config(
    [
        stream_route(
            "pigment-query",
            "tint-models",
            DEADLINE_MS,
            targetLatencyMs=265,
            priority=0,
            targetGapMs=250,
        )
    ],
    [model_service("tint-models")],
    {"priority": 0},
)


class Outcome:
    """What a client got: the bytes, whether the answer was complete, and when."""

    def __init__(self, id, router):
        self.id = id
        self.router = router
        self.sent_at = None
        self.ended_at = None
        self.is_complete = False
        self.received = 0
        self.end = ""


stream_events = answer_streams(EVENT_COUNT, EVENT_INTERVAL_S, EVENT_BYTES)


async def answer(worker, message, writer):
    """Answer with a whole stream; note whether the router read it to the end."""
    id = message.headers["x-mulberryhub-attempt-id"]
    started = time.monotonic()
    try:
        is_kept = await stream_events(worker, message, writer)
    except OSError:
        worker.cut_after_s[id] = time.monotonic() - started
        raise
    worker.finished.add(id)
    return is_kept


async def ask(sock, outcome, pause_s):
    """Send a request on a kept connection and read its answer to the end.

    For `pause_s` after the first bytes, nothing is read.
    """
    loop = asyncio.get_running_loop()
    data = b""
    outcome.sent_at = time.monotonic()
    try:
        request = encode_request("POST", "/pigment-query/a/", outcome.id, FIELDS, b"{}")
        await loop.sock_sendall(sock, request)
        data += await loop.sock_recv(sock, 512)
        await asyncio.sleep(pause_s)
        while not data.endswith(b"0\r\n\r\n"):
            piece = await asyncio.wait_for(loop.sock_recv(sock, 65_536), 12)
            if not piece:
                outcome.end = "closed"
                break
            data += piece
        else:
            outcome.is_complete = data.startswith(b"HTTP/1.1 200")
            outcome.end = "complete"
    except (OSError, TimeoutError) as error:
        outcome.end = repr(error)
    outcome.received = len(data)
    outcome.ended_at = time.monotonic()


FIELDS = prompt_fields(DEADLINE_MS)


async def run_client(lab, router, number, pause_s, outcomes):
    """Use a connection for a first request and then for the one that is judged."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await loop.sock_connect(sock, router.front)
    first = Outcome(f"{router.name}-{number}-first", router)
    await ask(sock, first, 0)
    assert first.is_complete, f"the first request failed: {first.end}"
    outcome = Outcome(f"{router.name}-{number}", router)
    outcomes.append(outcome)
    await ask(sock, outcome, pause_s)
    seconds = outcome.ended_at - outcome.sent_at
    lab.record.add(
        f"{outcome.id}: {outcome.end}, {outcome.received} bytes, {seconds:.2f} s"
    )
    sock.close()


async def case(has_trouble):
    """Return whether LOST held."""
    lab = Lab(FOLDER, BOUNDS)
    try:
        return await play(lab, PAUSE_S if has_trouble else 0)
    finally:
        lab.end()


async def play(lab, pause_s):
    """Play the stop of one router, and return whether LOST held."""
    await lab.store.start()
    for number in range(3):
        zone = f"perth-{'abc'[number]}"
        worker = await lab.add_worker(
            f"i-{number}", "tint-models", zone, answer, version=1
        )
        worker.finished = set()
        worker.cut_after_s = {}
    lab.store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": 1})
    lab.store.put("keyed.op", "config", CONFIG)
    lab.add_routers(["perth-a", "perth-b", "perth-c"])
    await lab.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    outcomes = []
    stopping, other = lab.routers[:2]
    clients = [
        asyncio.create_task(run_client(lab, router, number, pause_s, outcomes))
        for router in (stopping, other)
        for number in range(CLIENTS)
    ]
    while len(outcomes) < len(clients):
        await asyncio.sleep(0.02)
        failed = [task for task in clients if task.done() and task.exception()]
        assert not failed, failed
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.monotonic()
    lab.record.add(f"SIGTERM of {stopping.name}")
    stopping.send_signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    return judge(lab, outcomes, stopping, stopped_at)


def judge(lab, outcomes, stopping, stopped_at):
    """Return whether LOST held, with the reason in the record."""
    run = {id for worker in lab.workers for id in worker.runs}
    finished = {id for worker in lab.workers for id in worker.finished}
    lost = [
        item
        for item in outcomes
        if item.id in run
        and not item.is_complete
        and item.ended_at - item.sent_at < DEADLINE_MS / 1000
    ]
    around_stop = [
        item
        for item in lost
        if item.router is stopping
        and stopped_at <= item.ended_at <= stopped_at + BOUNDS["graceS"] + 1
    ]
    at_other = [item for item in lost if item.router is not stopping]
    lab.record.add(f"requests {len(outcomes)}, passed on {len(run) - len(outcomes)}")
    lab.record.add(f"workers wrote to the end: {len(finished) - len(outcomes)}")
    cuts = [at for worker in lab.workers for at in worker.cut_after_s.values()]
    texts = ", ".join(f"{at:.2f}" for at in sorted(cuts)) or "none"
    lab.record.add(f"cut by the router while a worker wrote, after s: {texts}")
    lab.record.add(f"cut without a complete answer around the stop: {len(around_stop)}")
    lab.record.add(f"the same at a router that is not stopped: {len(at_other)}")
    held = not around_stop
    lab.record.add("LOST held" if held else "LOST is broken")
    return held


if __name__ == "__main__":
    run_case(FOLDER, case)
