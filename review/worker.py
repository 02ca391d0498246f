"""Stand-in of a worker: registers itself, serves plain requests and streams."""

import asyncio
import json
import socket
import struct
import time

from review.harness.http_server import head, respond, start_server
from review.harness.store import WORKERS_TOPIC

HEARTBEAT_S = 1.2
PREFIX = "x-mulberryhub-"
SEAL = "X-Mulberryhub-Response-Seal"
ATTEMPT_ID = "X-Mulberryhub-Attempt-Id"
INSTANCE_ID = "X-Mulberryhub-Instance-Id"
NOT_EXECUTED = "X-Mulberryhub-Not-Executed"
WEIGHT_VERSIONS = "X-Mulberryhub-Weight-Versions"


class Worker:
    """A worker of `service`; `model` is None for a plain service.

    `runs` lists the requests that it began to run, as (time, id, Request).
    `event_count` and `event_gap_s` describe its streams; `is_framed` is whether an
    answer states its length or is chunked.
    """

    def __init__(self, store, id, service, zone, model=None, version=1):
        self.store = store
        self.id = id
        self.service = service
        self.zone = zone
        self.model = model
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.order_count = 0
        self.highest_fence = -1
        self.state = "ready"
        self.software_version = "1.0"
        self.address = None
        self.runs = []
        self.arrivals = []
        self.event_count = 6
        self.event_gap_s = 0.02
        self.work_s = 0.02
        self.is_framed = True
        self.heartbeats = True
        self.on_run = None
        self._server = None
        self._task = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen, register and keep registered."""
        self._server = await start_server(host, port, self._handle)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        self.register()
        self._task = asyncio.create_task(self._run_heartbeats())

    def crash(self):
        """End as a process that crashes: all connections are reset."""
        self._task.cancel()
        self._server.close()
        writers, self._writers = self._writers, set()
        for writer in writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def restart(self, software_version):
        """Start again under the same id and address, knowing nothing of before."""
        host, port = self.address.split(":")
        self.software_version = software_version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.order_count = 0
        self.highest_fence = -1
        await self.start(host, int(port))

    def register(self):
        """Write this worker's entry to the store."""
        self.sequence += 1
        models = []
        if self.model is not None:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software_version,
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "stage": "colocated",
            "models": models,
        }
        self.store.write(WORKERS_TOPIC, self.id, entry)

    async def _run_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.heartbeats:
                self.register()

    async def _handle(self, request, writer):
        self._writers.add(writer)
        if request.path == "/api/report":
            respond(writer, 200, json.dumps(self._report()).encode())
            return True
        if request.path == "/api/order":
            status = self._order(json.loads(request.body))
            respond(writer, status, b"{}")
            return True
        id = request.headers.get(PREFIX + "attempt-id", "")
        self.arrivals.append((time.monotonic(), id, request))
        if request.headers.get(PREFIX + "expect-instance", self.id) != self.id:
            headers = [(ATTEMPT_ID, id), (INSTANCE_ID, self.id), (NOT_EXECUTED, "1")]
            respond(writer, 421, b"", headers)
            return True
        expected = request.headers.get(PREFIX + "expect-version")
        if self.model is not None and expected not in (None, str(self.version)):
            headers = [
                (ATTEMPT_ID, id),
                (INSTANCE_ID, self.id),
                (NOT_EXECUTED, "1"),
                (WEIGHT_VERSIONS, str(self.version)),
            ]
            respond(writer, 421, b"", headers)
            return True
        self.runs.append((time.monotonic(), id, request))
        if self.on_run is not None:
            answered = await self.on_run(self, request, writer)
            if answered is not None:
                return answered
        headers = [(ATTEMPT_ID, id), (SEAL, f"seal.{self.id}.{id}")]
        if self.model is None:
            await asyncio.sleep(self.work_s)
            respond(writer, 200, b"done " + id.encode(), headers)
            return True
        headers.append((WEIGHT_VERSIONS, str(self.version)))
        headers.append(("Content-Type", "text/event-stream"))
        return await self._stream(request, writer, headers)

    async def _stream(self, request, writer, headers):
        first = int(request.headers.get("last-event-id", "0")) + 1
        version = self.software_version
        if self.is_framed:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Connection", "close"))
        writer.write(head(200, headers))
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {version} token{number}\n\n".encode()
            if self.is_framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
        return self.is_framed

    def _report(self):
        models = []
        if self.model is not None:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "colocated",
            "models": models,
            "busy": False,
            "sequence": self.order_count,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 90_000,
            "handles": 0,
        }

    def _order(self, order):
        if order["fencingToken"] < self.highest_fence:
            return 412
        self.highest_fence = order["fencingToken"]
        if order.get("expect", self.order_count) != self.order_count:
            return 409
        if order["version"] <= self.version:
            return 200
        self.order_count += 1
        self.version = order["version"]
        self.register()
        return 202
