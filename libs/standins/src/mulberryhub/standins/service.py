"""Stand-in for a plain HTTP service, such as an order worker, that counts its runs.

`GET /runs` returns the number of runs by idempotency key and by request id, and the
headers and queries received. Every other request counts as a run. The optional second
argument names a file in which runs persist across a crash.

Persistent faults, in force until cleared: `slow` (ms before the run), `late` (ms
between run and answer), `silent` (requests are run but not answered), `status` (HTTP
status of the answers).
Counted faults, whose value is the number of times they occur: `crash_before` and
`crash_after` (the process exits before or after a run), `drop_answers` (the connection
is closed after the run without an answer).
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
    run_standin,
    sleep_ms,
)

CRASH_EXIT_CODE = 70
SILENT_DELAY_MS = 600_000


class Run(msgspec.Struct):
    """A request that was run."""

    key: str
    request_id: str
    workspace: str
    query: str
    headers: list[tuple[str, str]]


class RunCounts(msgspec.Struct):
    """All runs and their number by idempotency key and by request id."""

    total: int
    by_key: dict[str, int]
    by_request_id: dict[str, int]
    runs: list[Run]


class ServiceStandin:
    """The HTTP interface of the service.

    Reads earlier runs from the file `path` and appends new ones to it.
    """

    __slots__ = ("faults", "runs", "_runs_file")

    def __init__(self, path=None):
        self.faults = Faults()
        self.runs = []
        self._runs_file = Path(path) if path else None
        if self._runs_file and self._runs_file.exists():
            lines = self._runs_file.read_bytes().splitlines()
            self.runs = [msgspec.json.decode(line, type=Run) for line in lines]

    def handle(self, request):
        """Return the Answer to one request."""
        if request.path == "/runs":
            return Answer(self._count_runs())
        sleep_ms(self.faults.get("slow", 0))
        self._crash_if_set("crash_before")
        self._record_run(request)
        self._crash_if_set("crash_after")
        if self.faults.consume("drop_answers"):
            _drop_connection(request)
        sleep_ms(
            SILENT_DELAY_MS if self.faults.get("silent") else self.faults.get("late", 0)
        )
        body = {"run": len(self.runs), "received": request.body.decode()}
        headers = [("X-Request-Id", request.header("X-Request-Id"))]
        return Answer(body, self.faults.get("status", 201), headers)

    def _count_runs(self):
        by_key, by_request_id = {}, {}
        for run in self.runs:
            by_key[run.key] = by_key.get(run.key, 0) + 1
            count = by_request_id.get(run.request_id, 0)
            by_request_id[run.request_id] = count + 1
        return RunCounts(len(self.runs), by_key, by_request_id, self.runs)

    def _crash_if_set(self, name):
        if self.faults.consume(name):
            os._exit(CRASH_EXIT_CODE)

    def _record_run(self, request):
        run = Run(
            key=request.header("Idempotency-Key"),
            request_id=request.header("X-Request-Id"),
            workspace=request.header("X-Workspace"),
            query=request.environ.get("QUERY_STRING", ""),
            headers=list(request.environ["headers_raw"]),
        )
        self.runs.append(run)
        if self._runs_file:
            with self._runs_file.open("ab") as file:
                file.write(msgspec.json.encode(run) + b"\n")


def _drop_connection(request):
    request.environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)


def make_service(path=None):
    """Return the WSGI application of a new service."""
    standin = ServiceStandin(path)
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_service(sys.argv[2] if len(sys.argv) > 2 else None))
