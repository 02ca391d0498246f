"""Stand-ins, router processes and clients that the cases 11 to 15 share.

The store, the workers and the clients run in this process, on loopback addresses; they
do what the pages say and use the standard library only. Routers are separate processes,
started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path.cwd()  # the repository, from which each case is run
HOST = "jepu9.example"
KEY = "wu3fexd9dnn2ctnfzs98"
MODEL = "daka510000"
HEADER_PREFIX = "x-mulberryhub-"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
CASE_TIMEOUT_S = 112
READY_TIMEOUT_S = 15
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S  # of the entry of a worker that is silent
CRASH_S = 2.5  # until a worker that crashed is back
RESTART_DELAY_S = 0.5
MEMORY_CHECK_S = 0.02
BYTES_PER_MB = 1_048_576
ORDER_TIMEOUT_MS = 1_557
MAX_ORDER_PAUSE_S = 0.2  # so that callers do not send all at the same moment
LENGTH_BYTES = 4
OFFSET_BYTES = 8
SILENT_SOCKET_COUNT = 5

SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "bkk"
portRange = [{metrics}, {metrics}]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
bkk-a = "bkk"
bkk-b = "bkk"
bkk-c = "bkk"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
stretchMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 110000
recoveryS = 12
transitMs = 120
retryAfterS = 10
requireFence = true
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
"""


def has_trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip):
    """Return a free port at `ip`."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class CaseNotRun(Exception):
    """The case could not run, so that it says nothing on the rule."""


class Record:
    """The lines of record.txt in the folder of a case."""

    def __init__(self, folder):
        self._started = time.monotonic()
        self._path = Path(folder) / "record.txt"
        self._path.write_text("")

    def write(self, *words):
        """Write one line with the time in s since the start of the case."""
        elapsed = time.monotonic() - self._started
        with self._path.open("a") as file:
            print(f"{elapsed:8.3f}", *words, file=file)


class Message:
    """The head of a request or an answer, its body and whether that is whole."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers
        self.body = b""
        self.is_whole = False

    def header(self, name, default=""):
        """Return the value of the header `name` (in lower case)."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the Message of the next head, or None if the stream ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return Message(first_line, {name.lower(): text.strip() for name, text in pairs})


async def read_body(reader, message):
    """Read the body of `message`, by its length or in chunks."""
    if message.header("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            message.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    else:
        size = int(message.header("content-length", "0"))
        message.body = await reader.readexactly(size)
    message.is_whole = True


class StandIn:
    """An HTTP/1.1 server at a free port of `ip`; `handle` serves one request."""

    def __init__(self, ip):
        self.ip = ip
        self.address = None
        self._server = None
        self._writers = set()
        self._silent = []

    async def start(self):
        """Listen at a free port, or at the port that this server had before."""
        port = 0 if self.address is None else int(self.address.split(":")[1])
        self._server = await asyncio.start_server(
            self._serve, self.ip, port, limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def end_at_once(self):
        """Refuse connections and reset those that are open, as a crash does."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def go_dark(self):
        """Leave all packets that open a connection unanswered, as a dead machine does.

        The queue of a listener that accepts nothing is filled.
        """
        self.end_at_once()
        ip, port = self.address.split(":")
        self._silent = [socket.socket() for _ in range(SILENT_SOCKET_COUNT)]
        listener = self._silent[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        for sock in self._silent[1:]:
            sock.setblocking(False)
            sock.connect_ex((ip, int(port)))

    async def come_back(self):
        """Serve again."""
        for sock in self._silent:
            sock.close()
        self._silent = []
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has gone, or the case is over.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Serve one request."""
        raise NotImplementedError


def encode_answer(status, headers, body):
    """Return an answer with a length as bytes."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Topic:
    """The records of a topic; nothing is trimmed, as a case is short."""

    def __init__(self):
        self.records = []
        self.appended = asyncio.Event()

    def append(self, records):
        """Append records and return the offset of the first one."""
        offset = len(self.records)
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


class Store(StandIn):
    """The platform's store: a log with topics of one partition."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self._record = record
        self._topics = {}

    def topic(self, name):
        """Return a Topic, made on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic, key, document):
        """Write a keyed record; None removes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        key = key.encode()
        self.topic(topic).append([bytes([len(key)]) + key + value])

    async def handle(self, request, writer):
        """Serve a call of the routers."""
        target = urlsplit(request.first_line.split()[1])
        query = {name: values[-1] for name, values in parse_qs(target.query).items()}
        topic = self.topic(query.get("topic", ""))
        if target.path == "/api/log-append":
            answer = self._append(topic, query, request.body)
        elif target.path == "/api/log-read":
            answer = await self._read(topic, query)
        elif target.path == "/api/log-newest":
            answer = self._newest(topic)
        else:
            answer = encode_answer(404, [], b"{}")
        writer.write(answer)

    @staticmethod
    def _append(topic, query, body):
        if "at" in query and int(query["at"]) != len(topic.records):
            end = json.dumps({"end": len(topic.records)}).encode()
            return encode_answer(412, [], end)
        records = []
        while body:
            size = int.from_bytes(body[:LENGTH_BYTES], "big")
            records.append(body[LENGTH_BYTES : LENGTH_BYTES + size])
            body = body[LENGTH_BYTES + size :]
        offset = topic.append(records)
        result = {"offset": offset, "end": len(topic.records)}
        return encode_answer(200, [], json.dumps(result).encode())

    @staticmethod
    async def _read(topic, query):
        start = int(query["from"])
        if start >= len(topic.records):
            wait_s = int(query.get("waitMs", "0")) / 1000
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            except TimeoutError:
                pass
        end = len(topic.records)
        data = end.to_bytes(OFFSET_BYTES, "big") + bytes(OFFSET_BYTES)
        for item in topic.records[start:]:
            data += len(item).to_bytes(LENGTH_BYTES, "big") + item
        return encode_answer(200, [], data)

    @staticmethod
    def _newest(topic):
        newest = {}
        for offset, item in enumerate(topic.records):
            key_end = 1 + item[0]
            newest[item[1:key_end].decode()] = (offset, item[key_end:])
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "more": False, "end": len(topic.records)}
        return encode_answer(200, [], json.dumps(page).encode())


class Worker(StandIn):
    """A sound worker without a model, which takes `work_s` for each request.

    It stops work at the deadline that it receives, with a 504. Requests whose path
    begins with a key of `work_s_by_prefix` take that time instead. `runs_by_id` has the
    number of runs by attempt id. A request whose path begins with `crash_prefix`
    crashes it; it is back a while later, as another incarnation at the same address.
    """

    def __init__(self, ip, id, service, store, record, work_s, slots=6):
        super().__init__(ip)
        self.id = id
        self.work_s_by_prefix = {}
        self.crash_prefix = None
        self.crash_times = []
        self.runs_by_id = {}
        self.run_times = []
        self._incarnation = 0
        self._crash_task = None
        self._service = service
        self._store = store
        self._record = record
        self._work_s = work_s
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._sequence = 0

    def register(self, state="ready"):
        """Write the entry of this worker to the store."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": "bkk-a",
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "stage": "colocated",
            "models": [],
            "born": 1_700_000_000_000 + self._incarnation,
            "sequence": self._sequence,
        }
        self._store.put("keyed.servers", self.id, entry)

    async def keep_registered(self):
        """Write the entry again at each heartbeat, unless it has crashed."""
        while True:
            if self._server.is_serving():
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """End at once, and be back with another id a while later."""
        self.crash_times.append(time.monotonic())
        self._record.write("worker", self.id, "crashes")
        crashed_id = self.id
        self.end_at_once()
        await asyncio.sleep(CRASH_S)
        self._incarnation += 1
        self.id = f"{crashed_id.split('.')[0]}.{self._incarnation}"
        self._free_slots = asyncio.Semaphore(self._slots)
        await self.start()
        self.register()
        self._record.write("worker", crashed_id, "is back as", self.id)
        await asyncio.sleep(EXPIRY_S - CRASH_S)
        self._store.put("keyed.servers", crashed_id, None)

    async def handle(self, request, writer):
        """Serve a request that a router passed on."""
        if request.header(HEADER_PREFIX + "expect-instance", self.id) != self.id:
            id_header = ("X-Mulberryhub-Instance-Id", self.id)
            writer.write(encode_answer(421, [id_header], b""))
            return
        id = request.header(HEADER_PREFIX + "attempt-id")
        deadline_s = float(request.header(HEADER_PREFIX + "deadline-ms", "1e9")) / 1000
        ends_at = time.monotonic() + deadline_s
        echo = [("X-Mulberryhub-Attempt-Id", id)]
        try:
            await asyncio.wait_for(self._free_slots.acquire(), deadline_s)
        except TimeoutError:
            refusal = [*echo, ("X-Mulberryhub-Not-Executed", "1")]
            writer.write(encode_answer(503, refusal, b""))
            return
        try:
            self.runs_by_id[id] = self.runs_by_id.get(id, 0) + 1
            self.run_times.append((time.monotonic(), id))
            self._record.write("worker", self.id, "runs", id, len(request.body), "B")
            path = request.first_line.split()[1]
            if self.crash_prefix and path.startswith(self.crash_prefix):
                self._crash_task = asyncio.ensure_future(self.crash())
                await asyncio.sleep(CRASH_S)  # until the connection is reset
                return
            time_left = ends_at - time.monotonic()
            work_s = self._work_time(path)
            await asyncio.sleep(min(work_s, time_left))
            status = 200 if work_s <= time_left else 504
            self._record.write("worker", self.id, "answers", id, status)
            seal = ("X-Mulberryhub-Response-Seal", f"{self.id}.{id}")
            writer.write(encode_answer(status, [*echo, seal], b"a" * 800))
        finally:
            self._free_slots.release()

    def _work_time(self, path):
        for prefix, work_s in self.work_s_by_prefix.items():
            if path.startswith(prefix):
                return work_s
        return self._work_s


class Router:
    """A router process, which keeps its settings across restarts."""

    def __init__(self, name, ip, zone, store, folder, record):
        self.name = name
        self._record = record
        ports = {item: free_port(ip) for item in ("front", "ready", "control")}
        self.front = (ip, ports["front"])
        self._ready = (ip, ports["ready"])
        self._metrics_port = free_port(ip)
        self._settings_path = Path(folder) / f"{name}.toml"
        self._log_path = Path(folder) / f"{name}.log"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            store=store.address,
            metrics=self._metrics_port,
            **ports,
        )
        self._settings_path.write_text(text)
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        command = ["python3", "-m", "mulberryhub.adapter"]
        command += ["--metrics-port", str(self._metrics_port)]
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment["MULBERRYHUB_SETTINGS"] = str(self._settings_path)
        with self._log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )
        self._record.write("router", self.name, "starts")

    def log_lines(self):
        """Return the lines that the process wrote."""
        return self._log_path.read_text(errors="replace").splitlines()

    def resident_bytes(self):
        """Return the memory that the process holds, 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return 0 if found is None else int(found[1]) * 1024

    async def wait_until_ready(self):
        """Wait until the readiness check succeeds."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CaseNotRun(f"router {self.name} ended: {self.log_lines()[-3:]}")
            if await self.is_ready():
                self._record.write("router", self.name, "is ready")
                return
            await asyncio.sleep(0.1)
        raise CaseNotRun(f"router {self.name} is not ready")

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            client = await Client.open(self._ready)
        except OSError:
            return False
        answer = await client.ask("GET", "/api/readiness", {})
        client.close()
        return answer is not None and answer.status == 200

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Answer:
    """What a client got: the status, and whether the answer is complete."""

    def __init__(self, status, message):
        self.status = status
        self.headers = message.headers
        self.is_whole = message.is_whole
        self.body = message.body


class Client:
    """A client connection that is kept for several requests."""

    def __init__(self, reader, writer):
        self.answer_count = 0
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address):
        """Connect to `address`, an IP and a port."""
        return cls(*await asyncio.open_connection(*address))

    async def send(self, method, path, headers, body=b"", pieces=None):
        """Send a request with a length, or in chunks if `pieces` are given."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if pieces is not None:
            lines.append("Transfer-Encoding: chunked")
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        for piece in pieces or ():
            self._writer.write(piece)
            await self._writer.drain()
        await self._writer.drain()

    async def read_answer(self):
        """Return the Answer, None if the connection ends without a head."""
        message = await read_head(self._reader)
        if message is None:
            return None
        try:
            await read_body(self._reader, message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.answer_count += message.is_whole
        return Answer(int(message.first_line.split()[1]), message)

    async def ask(self, method, path, headers, body=b""):
        """Send a request and return its Answer, None without one."""
        try:
            await self.send(method, path, headers, body)
        except ConnectionError:
            pass  # An answer may have come before the failure.
        return await self.read_answer()

    def close(self):
        """Close the connection."""
        self._writer.close()


def call_headers(id, deadline_ms=None):
    """Return the headers of a client's request."""
    headers = {"Authorization": f"Bearer {KEY}", "X-Mulberryhub-Attempt-Id": id}
    if deadline_ms is not None:
        headers["X-Mulberryhub-Deadline-Ms"] = str(deadline_ms)
    return headers


def make_route(name, prefix, kind, timeout_ms, **fields):
    """Return a route of the service of orders; `fields` are further ones."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": "order-desk",
        "maxAttempts": 1,
        "public": False,
        **fields,
    }


def make_configuration(version, routes, rate=0):
    """Return a configuration with one service and one tenant.

    `rate` is the limit of the tenant in tokens a second, and its burst; 0 is none.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "order-desk",
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "sese880",
                "apiKeys": [KEY],
                "priority": 1,
                "billingUnit": "token_stream",
                "uncachedTokens": 200,
                "isolated": False,
                "ratePerS": rate,
                "burst": rate,
            }
        ],
    }


class Lab:
    """A store, workers and routers of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store("127.0.0.1", self.record)
        self.workers = []
        self.routers = []
        self._folder = tempfile.TemporaryDirectory()
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_workers(self, count, work_s):
        """Start workers of the service of orders."""
        for number in range(count):
            worker = Worker(
                f"127.0.0.{10 + number}",
                f"i-{number}",
                "order-desk",
                self.store,
                self.record,
                work_s,
            )
            await worker.start()
            self.workers.append(worker)
            self.spawn(worker.keep_registered())

    def configure(self, configuration):
        """Write a configuration; the store has acknowledged it on return."""
        self.record.write("operator writes configuration", configuration["version"])
        self.store.put("keyed.op", "config", configuration)

    async def add_router(self, name="edge-bkk-a-1", ip="127.0.0.40", zone="bkk-a"):
        """Start a router and return it once it is ready."""
        router = Router(name, ip, zone, self.store, self._folder.name, self.record)
        self.routers.append(router)
        router.start()
        await router.wait_until_ready()
        return router

    async def guard_memory(self, router, limit_mb, ends):
        """Kill and restart a router that exceeds its memory, as the platform does.

        `ends` gets the resident bytes of each process that was killed.
        """
        while True:
            resident = router.resident_bytes()
            if resident > limit_mb * BYTES_PER_MB:
                router.kill()
                ends.append(resident)
                used_mb = resident / BYTES_PER_MB
                self.record.write(
                    f"platform kills {router.name}: it holds {used_mb:.1f} MB of"
                    f" memory, memoryMb is {limit_mb}"
                )
                await asyncio.sleep(RESTART_DELAY_S)
                router.start()
            await asyncio.sleep(MEMORY_CHECK_S)

    def runs(self, id):
        """Return how often the workers ran the request `id`."""
        return sum(worker.runs_by_id.get(id, 0) for worker in self.workers)

    def close(self):
        """End all processes that were started."""
        for task in list(self._tasks):
            task.cancel()
        for router in self.routers:
            router.kill()
        self._folder.cleanup()


class Orders:
    """Callers that place one order after the other, and the orders that were lost."""

    def __init__(self, lab, router, timeout_ms=ORDER_TIMEOUT_MS):
        self.is_over = False
        self.sent_count = 0
        self.answered_count = 0
        self.failed_count = 0
        self.lost_ids = []
        self._lab = lab
        self._router = router
        self._timeout_ms = timeout_ms

    async def place(self, number):
        """Place orders on kept connections until the case is over."""
        client = None
        while not self.is_over:
            if client is None:
                client = await self._connect()
                continue
            id = f"order-{number}-{self.sent_count}"
            is_kept = client.answer_count > 0
            self.sent_count += 1
            headers = call_headers(id, self._timeout_ms)
            answer = await client.ask("POST", "/orders/x", headers, b"o" * 800)
            if answer is not None and answer.is_whole:
                self.answered_count += 1
                self.failed_count += answer.status >= 500 and self._lab.runs(id)
                await asyncio.sleep(random.uniform(0, MAX_ORDER_PAUSE_S))
                continue
            runs = self._lab.runs(id)
            self._lab.record.write(
                f"{id}: connection closed without an answer, kept: {is_kept},"
                f" runs at sound workers: {runs}"
            )
            if is_kept and runs:
                self.lost_ids.append(id)
            client = None

    async def _connect(self):
        try:
            return await Client.open(self._router.front)
        except OSError:
            await asyncio.sleep(0.05)
            return None


def run_case(folder, play):
    """Run `play(lab)`, which returns whether the rule held, and exit with its code."""

    async def run():
        lab = Lab(folder)
        try:
            await lab.store.start()
            has_held = await asyncio.wait_for(play(lab), CASE_TIMEOUT_S)
            lab.record.write("the rule held" if has_held else "the rule was broken")
            return HELD if has_held else BROKEN
        except Exception as error:  # an exit code of 1 would mean a broken rule
            lab.record.write(f"the case could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            lab.close()

    sys.exit(asyncio.run(run()))
