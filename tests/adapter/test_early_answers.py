"""Workers that answer long requests before they have read them, and break off.

The router is a process of its own; the workers are stand-ins.
"""

import socket
import time
from contextlib import contextmanager, suppress

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker
from tests.support.broken_connections import allow_broken_connection

KINDS = {
    "resumable": {"type": "streaming", "maxAttempts": 2, "canResume": True},
    "single": {"type": "streaming"},
    "read": {"type": "idempotent", "maxAttempts": 2},
    "order": {"type": "non_idempotent"},
}
LONG_BODY = b"x" * 3_000_000
EVENT_TYPE = b"Content-Type: text/event-stream\r\n"
RESET = b"\1\0\0\0\0\0\0\0"
REQUESTS = 8  # of each kind, as the outcome depends on which call gets the error


class EarlyWorker(RawWorker):
    """Answers a long request from its head, without a length, and breaks off.

    Others are answered whole. It breaks off after `pause_s`, with a reset or, if
    `is_reset` is false, by closing the connection with the request unread.
    """

    is_reset = True
    pause_s = 0.0

    def _serve(self, conn):
        with conn, suppress(ConnectionError):  # of a request that is not read
            while data := conn.recv(4_096):
                id = _attempt_id(data)
                self.runs.append(id)
                if not id.startswith("early"):
                    conn.sendall(self.head(id) + EVENT_TYPE)
                    conn.sendall(b"Content-Length: 16\r\n\r\nid: 1\ndata: ok\n\n")
                    continue
                conn.sendall(self.head(id) + EVENT_TYPE + b"\r\n" + events(2))
                time.sleep(self.pause_s)
                if self.is_reset:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return


def events(count):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1))


def _attempt_id(head):
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"x-mulberryhub-attempt-id":
            return value.decode()
    return ""


@contextmanager
def running_worker(fleet, kind):
    worker = EarlyWorker(fleet, f"w-{kind}", kind, None)
    try:
        yield worker
    finally:
        worker.close()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=1)
    routes = [
        route(kind, f"/{kind}/", fields["type"], kind, **fields)
        for kind, fields in KINDS.items()
    ]
    fleet.configure(
        make_config(routes=routes, services=[{"name": kind} for kind in KINDS])
    )
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.3])
@pytest.mark.parametrize("is_reset", [True, False])
@pytest.mark.parametrize("kind", KINDS)
def test_part_of_an_early_answer_is_not_passed_on_as_a_whole_one(
    fleet, kind, is_reset, pause_s
):
    # Guards against streams that end as complete, and bodies that are cut, unnoticed.
    router = fleet.routers[0]
    with running_worker(fleet, kind) as worker:
        worker.is_reset, worker.pause_s = is_reset, pause_s
        wait_until(lambda: router.ask(f"/{kind}/x", id="warm").status == 200)
        for number in range(REQUESTS):
            id = f"early-{kind}-{is_reset}-{pause_s}-{number}"
            answer = None
            with allow_broken_connection():
                answer = router.ask(f"/{kind}/x", id=id, body=LONG_BODY)
            assert answer is None or answer.status >= 500, answer
