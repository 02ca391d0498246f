"""Requests in short chunks from many clients, and the answers of others meanwhile."""

import asyncio
import time
from pathlib import Path

from lab_3 import (
    ORDER_TIMEOUT_MS,
    Client,
    call_headers,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

CALLER_COUNT = 8
CALL_PAUSE_S = 0.2
UPLOADER_COUNT = 80
UPLOADS_PER_S = 30
BODY_BYTES = 80_000  # maxBodyBytes is 4,194,304
SHORT_CHUNK_BYTES = 4  # as of a JSON encoder that writes each token by itself
LONG_CHUNK_BYTES = 4_000
WORK_S = 0.045
DEADLINE_MS = 6_000  # of callers
ANSWER_MARGIN_S = 0.5  # after the timeout, by which an answer is due
UPLOAD_TIMEOUT_S = 80
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.5


class Calls:
    """Callers of short requests, and how long each waited for its answer."""

    def __init__(self, lab, router):
        self.is_over = False
        self.durations = []
        self._lab = lab
        self._router = router

    async def call(self, number):
        """Send requests, each on a new connection, until the case is over."""
        count = 0
        while not self.is_over:
            count += 1
            await self._ask(f"short-{number}-{count}")
            await asyncio.sleep(CALL_PAUSE_S)

    async def _ask(self, id):
        started = time.monotonic()
        client = answer = None
        try:
            client = await Client.open(self._router.front)
            answer = await client.ask("GET", "/stock/x", call_headers(id, DEADLINE_MS))
        except OSError:
            pass
        if client is not None:
            client.close()
        duration = time.monotonic() - started
        self.durations.append(duration)
        seen = "closed without an answer" if answer is None else answer.status
        self._lab.record.write(f"client sent {id}, after {duration:.3f} s: {seen}")


async def upload(lab, router, number, chunk_bytes):
    """Send one request in chunks."""
    chunk = b"%x\r\n" % chunk_bytes + b"n" * chunk_bytes + b"\r\n"
    body = chunk * (BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"
    await asyncio.sleep(number / UPLOADS_PER_S)
    client = await Client.open(router.front)
    answer = None
    try:
        headers = call_headers(f"chunks-{number}", 12_000)
        await client.send("POST", "/notes/x", headers, pieces=[body])
        answer = await client.read_answer()
    except ConnectionError:
        pass
    status = "none" if answer is None else answer.status
    lab.record.write(f"request {number} in chunks: answer {status}")


async def log_readiness(lab, router):
    """Record how long each check of readiness takes, one a second."""
    while True:
        started = time.monotonic()
        is_ready = await router.is_ready()
        duration = time.monotonic() - started
        resident_mb = router.resident_bytes() / 1_048_576
        lab.record.write(
            f"ready: {is_ready} after {duration:.3f} s; it holds {resident_mb:.1f} MB"
        )
        await asyncio.sleep(1)


async def play(lab):
    """Return whether the rule held."""
    chunk_bytes = SHORT_CHUNK_BYTES if has_trouble() else LONG_CHUNK_BYTES
    await lab.add_workers(3, WORK_S)
    routes = [
        make_route("stock", "/stock/", "idempotent", ORDER_TIMEOUT_MS),
        make_route("notes", "/notes/", "non_idempotent", 12_000),
    ]
    lab.configure(make_configuration(7, routes))
    router = await lab.add_router()
    lab.spawn(log_readiness(lab, router))
    calls = Calls(lab, router)
    callers = [lab.spawn(calls.call(number)) for number in range(CALLER_COUNT)]
    await asyncio.sleep(4)  # the machine has been in touch for contactMs
    before = len(calls.durations)
    started = time.monotonic()
    uploads = [
        lab.spawn(upload(lab, router, number, chunk_bytes))
        for number in range(UPLOADER_COUNT)
    ]
    await asyncio.wait(uploads, timeout=UPLOAD_TIMEOUT_S)
    lab.record.write(f"uploads took {time.monotonic() - started:.1f} s")
    calls.is_over = True
    await asyncio.gather(*callers)
    timeout_s = ORDER_TIMEOUT_MS / 1000
    due_s = timeout_s + ANSWER_MARGIN_S
    seen = calls.durations[before:]
    late = [item for item in seen if item > timeout_s]
    unanswered = [item for item in late if item > due_s]
    lab.record.write(
        f"short requests during the uploads {len(seen)}; unanswered at their timeout"
        f" {len(late)}; of these still waiting half a second later {len(unanswered)};"
        f" longest wait {max(seen):.1f} s"
    )
    return len(unanswered) < MIN_UNANSWERED or len(
        unanswered
    ) <= UNANSWERED_SHARE * len(late)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
