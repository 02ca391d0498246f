"""Memory of a router under long request bodies, and what becomes of other requests.

Usage: python -m benchmarks.long_requests [LONG_CLIENTS ...]

Some clients send one long order each, at once, while others send short orders on kept
connections. Prints the peak memory of the router, the answers to the long orders, the
short orders that ended without an answer, and the worst latency of the short ones.
"""

import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    deadline_headers,
    make_config,
    route,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

MEMORY_LIMIT_MB = 150
BODY_BYTES = 4_194_304
SHORT_CLIENTS = 24
SETTLE_S = 1.0
LONG_DEADLINE_MS = 8_000
RESPONSE_TIMEOUT_S = 15
SLOW_PIECE_BYTES = 131_072
SLOW_PAUSE_S = 0.05
SAMPLE_INTERVAL_S = 0.005
BYTES_PER_MB = 1_000_000
PAGE_BYTES = 4_096


class Outcome:
    """What a run showed.

    `long_answers` counts the answers to long orders by status and Retry-After;
    `lost` counts short orders without an answer, `worst_ms` is the longest time that
    one took, and `peak_mb` the highest resident memory of the router.
    """

    __slots__ = ("long_answers", "short_answers", "lost", "worst_ms", "peak_mb")

    def __init__(self):
        self.long_answers = Counter()
        self.short_answers = Counter()
        self.lost = 0
        self.worst_ms = 0
        self.peak_mb = 0


class Answer:
    """The status of an answer, 0 if there is none, and its Retry-After or None."""

    __slots__ = ("status", "retry_after")

    def __init__(self, status, retry_after=None):
        self.status = status
        self.retry_after = retry_after


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / BYTES_PER_MB


def read_answer(sock):
    """Return the Answer on `sock`, whose body is read too."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65_536)
            if not piece:
                return Answer(0)
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        fields = dict(line.split(b": ", 1) for line in lines[1:])
        length = int(fields.get(b"content-length", 0))
        while len(body) < length:
            body += sock.recv(65_536)
    except OSError:
        return Answer(0)
    return Answer(int(lines[0].split()[1]), fields.get(b"retry-after"))


def order_head(id, path, length, deadline_ms):
    """Return the head of an order."""
    fields = call_headers(id, KEY)
    fields.update(deadline_headers(deadline_ms))
    fields["Content-Length"] = str(length)
    lines = [f"POST {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def send_all(sock, data, is_slow):
    """Send `data`; a slow sender pauses between pieces."""
    try:
        if not is_slow:
            sock.sendall(data)
            return
        for start in range(0, len(data), SLOW_PIECE_BYTES):
            sock.sendall(data[start : start + SLOW_PIECE_BYTES])
            time.sleep(SLOW_PAUSE_S)
    except OSError:
        return  # The router has answered before the end of the body, or has ended.


def connect(router):
    """Return a socket to the router's address for clients."""
    host, port = router.front.split(":")
    return socket.create_connection((host, int(port)), RESPONSE_TIMEOUT_S)


def send_long(router, number, is_slow, outcome):
    """Send one long order and count its answer."""
    try:
        sock = connect(router)
        head = order_head(f"long-{number}", "/long/x", BODY_BYTES, LONG_DEADLINE_MS)
        sock.sendall(head)
    except OSError:
        outcome.long_answers[0, None] += 1
        return
    send_all(sock, bytes(BODY_BYTES), is_slow)
    answer = read_answer(sock)
    outcome.long_answers[answer.status, answer.retry_after] += 1
    sock.close()


def send_short(router, client, ended, outcome):
    """Send short orders on one connection until `ended` is set."""
    sock = connect(router)
    number = 0
    while not ended.is_set():
        number += 1
        head = order_head(f"short-{client}-{number}", "/o/x", 5, 4_000)
        started = time.monotonic()
        try:
            sock.sendall(head + b"order")
        except OSError:
            return  # The connection had ended, so the order has not run.
        answer = read_answer(sock)
        took_ms = (time.monotonic() - started) * 1_000
        outcome.worst_ms = max(outcome.worst_ms, took_ms)
        outcome.short_answers[answer.status] += 1
        if not answer.status:
            outcome.lost += 1
            return
        time.sleep(0.02)


def watch_memory(router, ended, outcome):
    """Record the peak memory; kill the router over its limit, as the platform does."""
    while not ended.is_set() and router.popen.poll() is None:
        outcome.peak_mb = max(outcome.peak_mb, resident_mb(router.popen.pid))
        if outcome.peak_mb > MEMORY_LIMIT_MB:
            router.popen.kill()
            return
        time.sleep(SAMPLE_INTERVAL_S)


def run_load(router, long_clients, is_slow):
    """Return the Outcome of `long_clients` long orders beside short ones."""
    outcome = Outcome()
    ended = threading.Event()
    others = [threading.Thread(target=watch_memory, args=(router, ended, outcome))]
    others += [
        threading.Thread(target=send_short, args=(router, client, ended, outcome))
        for client in range(SHORT_CLIENTS)
    ]
    for thread in others:
        thread.start()
    time.sleep(SETTLE_S)
    long_threads = [
        threading.Thread(target=send_long, args=(router, number, is_slow, outcome))
        for number in range(long_clients)
    ]
    for thread in long_threads:
        thread.start()
    for thread in long_threads:
        thread.join()
    time.sleep(SETTLE_S)
    ended.set()
    for thread in others:
        thread.join()
    return outcome


def start_fleet(folder):
    """Return a PlatformFleet of one router with a memory limit, and that router."""
    fleet = PlatformFleet(folder, routers=0)
    router = fleet.start_router(0, memory=MEMORY_LIMIT_MB)
    fleet.routers.append(router)
    routes = [
        route("order", "/o/", "non_idempotent", "desk"),
        route("long", "/long/", "non_idempotent", "desk", timeoutMs=LONG_DEADLINE_MS),
    ]
    fleet.configure(make_config(routes=routes))
    wait_until(lambda: is_served(router))
    return fleet, router


def is_served(router):
    """Return whether the router gets an order answered."""
    return router.ask("/o/ready", body=b"x").status == 200


def main(client_counts):
    """Print a row for each number of clients, with fast and with slow senders."""
    for long_clients in client_counts:
        for is_slow in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                fleet, router = start_fleet(folder)
                try:
                    outcome = run_load(router, long_clients, is_slow)
                finally:
                    fleet.close()
            print(
                f"{long_clients} long, {'slow' if is_slow else 'fast'}:"
                f" peak {outcome.peak_mb:.0f} MB, long {dict(outcome.long_answers)},"
                f" short {dict(outcome.short_answers)}, {outcome.lost} lost,"
                f" worst {outcome.worst_ms:.0f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main([int(count) for count in sys.argv[1:]] or [4, 48, 400])
