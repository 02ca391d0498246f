"""Sends requests to a raw worker until one arrives, and reads what the client gets."""

import socket
import time
from itertools import count

from mulberryhub.adapter_standins.documents import KEY, call_headers
from tests.adapter.raw_workers import RawWorker

REACH_TIMEOUT_S = 15
CLIENT_TIMEOUT_S = 8
DEADLINE_MS = 1_500
OK_BODY = b"Content-Length: 2\r\n\r\nok"
STATUS_OK_LINE = b"HTTP/1.1 200 OK"
ID_LINE = b"X-Mulberryhub-Attempt-Id: {id}\r\n"
SEAL_LINE = b"X-Mulberryhub-Response-Seal: seal\r\n"
WARM = "warm"
NUMBERS = count()


class ReceivedAnswer:
    """What a client received: its head's lines and the body, as bytes.

    `run_count` is the number of times that a worker received the request.
    """

    def __init__(self, data, run_count):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.lines = head.split(b"\r\n")
        self.run_count = run_count

    @property
    def status(self):
        """Return the status code."""
        return int(self.lines[0].split()[1])

    @property
    def seals(self):
        """Return the values of all seals."""
        pairs = [line.partition(b":") for line in self.lines[1:]]
        return [
            value.strip()
            for name, _, value in pairs
            if name.lower() == b"x-mulberryhub-response-seal"
        ]


def sealed(status_line):
    """Return the first lines of a sealed answer with `status_line`."""
    return status_line + b"\r\n" + ID_LINE + SEAL_LINE


def ask_worker(platform, kind, response, is_reused=False):
    """Return the ReceivedAnswer to a request that a worker answers with `response`.

    In it, `{id}` stands for the request's id. With `is_reused`, the connection carried
    another request before.
    """

    def respond(conn, id, worker):
        data = sealed(STATUS_OK_LINE) + OK_BODY if id.startswith(WARM) else response
        conn.sendall(data.replace(b"{id}", id.encode()))
        return True

    router = platform.routers[0]
    worker = RawWorker(platform, f"claim{next(NUMBERS)}", kind, respond)
    try:
        answer = _ask_until_reached(router, worker, kind, WARM if is_reused else "odd")
        if not is_reused:
            return answer
        return _ask(router, worker, kind, f"odd-{next(NUMBERS)}")
    finally:
        worker.close()


def _ask_until_reached(router, worker, kind, name):
    deadline = time.monotonic() + REACH_TIMEOUT_S
    while time.monotonic() < deadline:
        answer = _ask(router, worker, kind, f"{name}-{next(NUMBERS)}")
        if answer.run_count:
            return answer
        time.sleep(0.03)
    raise AssertionError("no request reached the worker")


def _ask(router, worker, kind, id):
    host, port = router.front.split(":")
    fields = {
        **call_headers(id, KEY),
        "X-Mulberryhub-Deadline-Ms": DEADLINE_MS,
        "Content-Length": 0,
        "Connection": "close",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    data = b""
    with socket.create_connection((host, int(port)), CLIENT_TIMEOUT_S) as conn:
        conn.sendall(f"POST /{kind}/{id} HTTP/1.1\r\n{lines}\r\n".encode())
        while received := conn.recv(65_536):
            data += received
    return ReceivedAnswer(data, worker.runs.count(id))
