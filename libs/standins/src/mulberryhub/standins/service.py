"""Stand-in of a plain service, such as an order worker, that counts what it ran.

`GET /runs` gives the runs by idempotency key and by request id, and the headers and
queries received. Each other request is run. The second argument may name a file
that keeps the runs through a crash.

Lasting faults: `slow` (ms before the run), `late` (ms between run and answer),
`silent` (requests are run and never answered), `status` (of the answers).
Counted faults: `crash_before` and `crash_after` (the process ends before or after
a run), `drop_answers` (runs whose connection is closed without an answer).
"""

import os
import sys
from pathlib import Path

import msgspec

from mulberryhub.base.green import socket
from mulberryhub.standins.server import (
    Answer,
    Faults,
    make_app,
    pause,
    run_standin,
)

CRASH_STATUS = 70
SILENCE = 600_000  # ms


class Run(msgspec.Struct):
    """One run of a request."""

    key: str
    request_id: str
    workspace: str
    query: str
    headers: list[tuple[str, str]]


class Runs(msgspec.Struct):
    """All runs, counted by idempotency key and by request id."""

    total: int
    by_key: dict[str, int]
    by_request_id: dict[str, int]
    runs: list[Run]


class ServiceStandin:
    """The service's HTTP interface."""

    __slots__ = ("faults", "runs", "_file")

    def __init__(self, path=None):
        self.faults = Faults()
        self.runs = []
        self._file = Path(path) if path else None
        if self._file and self._file.exists():
            lines = self._file.read_bytes().splitlines()
            self.runs = [msgspec.json.decode(line, type=Run) for line in lines]

    def handle(self, request):
        """Serve one request."""
        if request.path == "/runs":
            return Answer(self._counts())
        pause(self.faults.get("slow", 0))
        self._strike("crash_before")
        self._run(request)
        self._strike("crash_after")
        if self.faults.take("drop_answers"):
            _drop_connection(request)
        pause(SILENCE if self.faults.get("silent") else self.faults.get("late", 0))
        body = {"run": len(self.runs), "received": request.body.decode()}
        headers = [("X-Request-Id", request.header("X-Request-Id"))]
        return Answer(body, self.faults.get("status", 201), headers)

    def _counts(self):
        by_key, by_request_id = {}, {}
        for run in self.runs:
            by_key[run.key] = by_key.get(run.key, 0) + 1
            count = by_request_id.get(run.request_id, 0)
            by_request_id[run.request_id] = count + 1
        return Runs(len(self.runs), by_key, by_request_id, self.runs)

    def _strike(self, name):
        if self.faults.take(name):
            os._exit(CRASH_STATUS)

    def _run(self, request):
        run = Run(
            key=request.header("Idempotency-Key"),
            request_id=request.header("X-Request-Id"),
            workspace=request.header("X-Workspace"),
            query=request.environ.get("QUERY_STRING", ""),
            headers=list(request.environ["headers_raw"]),
        )
        self.runs.append(run)
        if self._file:
            with self._file.open("ab") as file:
                file.write(msgspec.json.encode(run) + b"\n")


def _drop_connection(request):
    request.environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)


def make_service(path=None):
    """Return the WSGI application of a new service."""
    standin = ServiceStandin(path)
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_service(sys.argv[2] if len(sys.argv) > 2 else None))
