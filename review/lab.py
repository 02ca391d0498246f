"""Small stand-ins of the store, workers and clients, and the routers beside them.

They speak what the users' pages say, over loopback, with the standard library only. All
of them run in one event loop; the routers are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from base64 import b64encode
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
RUN = ["python3", "-m", "mulberryhub.adapter", "--metrics-port", "9464"]
READY_PATH = "/api/readiness"
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
MODEL = "m-lab"
HOST = "lab.example"
KEY = "key-of-the-lab"
NOT_EXECUTED = ("X-Mulberryhub-Not-Executed", "1")

SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "lab"
portRange = [{range}, {range}]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
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
{bounds}
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendLatencyMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
maxRecordBytes = 262144
maxRequestBytes = 2097152
keep_s = 20
partitionMb = 200
minTtlMs = 1000
"""


LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}


def make_config(routes, services, tenant=()):
    """Return a configuration with one tenant; `tenant` adds to its fields."""
    fields = {
        "name": "t1",
        "apiKeys": [KEY],
        "priority": 1,
        "billingUnit": "token_stream",
        "uncachedTokens": 200,
        "isolated": False,
    }
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [fields | dict(tenant)],
    }


def stream_route(name, service, timeout_ms, **fields):
    """Return a route of streams that can't be resumed; `fields` add or replace."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": "streaming",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": True,
        "canResume": False,
        "targetGapMs": 300,
    } | fields


def model_service(name):
    """Return a service of model workers."""
    engine = {
        "slots": 64,
        "kvCapacity": 108_095,
        "kvTokenBytes": 35_136,
        "models": [{"name": MODEL}],
    }
    fields = {"healthPath": "/health", "maxConnections": 370}
    return {"name": name, "engine": engine} | fields


def answer_streams(count, interval_s, data_bytes):
    """Return the function that answers with a stream of `count` events."""

    async def answer(worker, message, writer):
        fields = worker.answer_headers(message)
        fields.append(("Content-Type", "text/event-stream"))
        fields.append(("Transfer-Encoding", "chunked"))
        lines = [f"{name}: {value}" for name, value in fields]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: {'x' * data_bytes}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return answer


class Record:
    """Writes what happened to `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def add(self, text):
        """Write a line and print it."""
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Message:
    """A request: method, path with query, header fields in lower case, and body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """Return the target without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """Return the query's fields by name."""
        pairs = self.target.partition("?")[2].split("&")
        return dict(pair.split("=", 1) for pair in pairs if "=" in pair)


async def read_head(reader):
    """Return the first line and the header fields of a message, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader):
    """Return the next Message, or None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    headers = head[1]
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(method, target, headers, body)


def encode_answer(status, body=b"", headers=()):
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def json_answer(document, status=200):
    """Return the bytes of an answer with a JSON body."""
    body = json.dumps(document).encode()
    return encode_answer(status, body, [("Content-Type", "application/json")])


async def serve(ip, port, handle, writers=None):
    """Listen and call `handle(message, writer)` for each request of a connection.

    It returns whether the connection is kept. `writers` has the open connections.
    """
    writers = set() if writers is None else writers

    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while (message := await read_request(reader)) is not None:
                if not await handle(message, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass  # The router closed the connection, or the case ends.
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, backlog=1024)


class Topic:
    """The records of a topic; `first` is the offset of the oldest that is kept."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest_by_key = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, record, is_keyed):
        """Append a record and wake the reads that wait for one."""
        if is_keyed:
            key = record[1 : 1 + record[0]].decode()
            self.newest_by_key[key] = (self.end, record[1 + record[0] :])
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store: a log of topics, keyed ones with a list of the newest.

    `append_fault(topic)`, if set, returns "lost" for an append that is done and not
    answered, or "late" for one that is done later and not answered.
    """

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self.append_fault = None
        self.late_s = 3.0
        self._topics = {}
        self._server = None
        self._writers = set()

    async def start(self):
        """Start to listen, or again after `cut`."""
        ip, port = self.address.split(":")
        self._server = await serve(ip, int(port), self._handle, self._writers)

    def cut(self):
        """Refuse connections and reset the open ones, until `start` is called.

        Workers and the operator write on, as they have a path of their own.
        """
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def topic(self, name):
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic, key, document):
        """Write the record of a key; None removes it."""
        value = b"" if document is None else json.dumps(document).encode()
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value, True)

    async def _handle(self, message, writer):
        await asyncio.sleep(STORE_ANSWER_S)
        operation = message.path.removeprefix("/api/")
        if operation == "log-read":
            writer.write(await self._read(message.query))
        elif operation == "log-newest":
            writer.write(self._list_newest(message.query))
        elif operation == "log-append":
            answer = await self._append(message)
            if answer is None:
                await asyncio.sleep(3600)
            writer.write(answer)
        else:
            writer.write(encode_answer(404))
        await writer.drain()
        return True

    async def _read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        wait = int(query.get("waitMs", 0)) / 1000
        if start >= topic.end and wait:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except TimeoutError:
                pass
        if start < topic.first:
            return json_answer({"first": topic.first}, 410)
        body = topic.end.to_bytes(8) + topic.first.to_bytes(8)
        for record in topic.records[start - topic.first :]:
            body += len(record).to_bytes(4) + record
        return encode_answer(200, body)

    def _list_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "")
        items = [
            {"key": key, "offset": offset, "value": b64encode(value).decode()}
            for key, (offset, value) in sorted(topic.newest_by_key.items())
            if value and key > after
        ]
        page = {"items": items[:500], "more": len(items) > 500, "end": topic.end}
        return json_answer(page)

    async def _append(self, message):
        name = message.query["topic"]
        topic = self.topic(name)
        if name in ("keyed.op", "keyed.servers"):
            return encode_answer(403)
        if int(message.query.get("at", topic.end)) != topic.end:
            return json_answer({"end": topic.end}, 412)
        fault = self.append_fault and self.append_fault(name)
        if fault == "late":
            await asyncio.sleep(self.late_s)
        offset = topic.end
        data = message.body
        while data:
            length = int.from_bytes(data[:4])
            topic.append(data[4 : 4 + length], name.startswith("keyed."))
            data = data[4 + length :]
        return None if fault else json_answer({"offset": offset, "end": topic.end})


class Worker:
    """A sound worker that keeps its entry in the store.

    `answer(worker, message, writer)` answers a request that runs and returns whether
    the connection is kept. `runs` are the ids of those that ran.
    """

    def __init__(self, id, service, zone, ip, port, store, answer, version=0):
        self.id = id
        self.service = service
        self.zone = zone
        self.address = f"{ip}:{port}"
        self.store = store
        self.answer = answer
        self.version = version
        self.state = "ready"
        self.slots = 64
        self.runs = []
        self.orders = []
        self.on_run = lambda worker, message: None
        self.is_up = False
        self._starts = 0
        self._first_id = id
        self._sequence = 0
        self._born = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Start to listen and to write the entry, as a new incarnation."""
        ip, port = self.address.split(":")
        self._starts += 1
        self.id = f"{self._first_id}-{self._starts}"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await serve(ip, int(port), self._handle, self._writers)
        self.is_up = True
        self._beats = asyncio.create_task(self._beat())

    def leave(self):
        """Leave without a report: the entry is removed, requests are served on."""
        self._beats.cancel()
        self.store.put("keyed.servers", self.id, None)

    async def replace(self):
        """End, and start again as a new incarnation."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self.start()

    def crash(self, down_s):
        """End like a process that crashes, and start again after `down_s` seconds.

        The entry is removed after three intervals of silence.
        """
        self.is_up = False
        self._server.close()
        self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        id = self.id
        loop.call_later(
            3 * HEARTBEAT_S, lambda: self.store.put("keyed.servers", id, None)
        )
        loop.call_later(down_s, lambda: asyncio.ensure_future(self.start()))

    def register(self):
        """Write the entry once."""
        self._sequence += 1
        self.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "stage": "colocated",
                "models": self._models(),
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self):
        if not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def _handle(self, message, writer):
        if message.path == "/api/report":
            writer.write(json_answer(self._report()))
            return True
        refusal = self._refusal(message)
        if refusal is not None:
            writer.write(refusal)
            return True
        self.runs.append(message.headers["x-mulberryhub-attempt-id"])
        self.on_run(self, message)
        if not self.is_up:
            return False
        is_kept = await self.answer(self, message, writer)
        await writer.drain()
        return is_kept

    def _report(self):
        return {
            "stage": "colocated",
            "models": self._models(),
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 90_000,
            "handles": 0,
            "born": self._born,
        }

    def _refusal(self, message):
        """Return the answer to a request that does not run, else None."""
        fields = message.headers
        is_other = fields.get("x-mulberryhub-expect-instance", self.id) != self.id
        version = fields.get("x-mulberryhub-expect-version", str(self.version))
        if is_other or int(version) != self.version:
            headers = [("X-Mulberryhub-Instance-Id", self.id)]
            return encode_answer(421, b"", headers)
        if "x-mulberryhub-attempt-id" not in fields:
            return encode_answer(400, b"", [NOT_EXECUTED])
        return None

    def answer_headers(self, message):
        """Return the header fields of an answer to a request that ran."""
        fields = [
            ("X-Mulberryhub-Attempt-Id", message.headers["x-mulberryhub-attempt-id"]),
            ("X-Mulberryhub-Response-Seal", f"seal-{self.id}"),
        ]
        if self.version:
            fields.append(("X-Mulberryhub-Weight-Versions", str(self.version)))
        return fields


class Router:
    """A router process with an address of its own on loopback."""

    def __init__(self, name, zone, ip, ports, store, bounds, folder, seeds):
        self.name = name
        self.ip = ip
        self.front = (ip, ports["front"])
        self.ready = (ip, ports["ready"])
        self.popen = None
        self.log_path = Path(folder) / f"{name}.log"
        self._settings_path = Path(folder) / f"{name}.toml"
        self._settings_path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=ip,
                store=store,
                bounds=bounds,
                seeds=", ".join(f'"{seed}:{ports["control"]}"' for seed in seeds),
                **ports,
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "MULBERRYHUB_SETTINGS": str(self._settings_path),
            "PYTHONPATH": "target/deps",
        }
        with self.log_path.open("ab") as log_file:
            self.popen = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log_file, stderr=log_file
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness question is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(f"GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200" in head[0]

    def end(self):
        """End the process, whatever state it is in."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Lab:
    """A store, workers and routers, each at a loopback address of its own."""

    def __init__(self, folder, bounds):
        self.record = Record(folder)
        self.routers = []
        self.workers = []
        self._bounds = "\n".join(f"{name} = {value}" for name, value in bounds.items())
        self._folder = tempfile.mkdtemp(prefix="lab-")
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._last_ip = 0
        self.store = Store(*self.free_place())

    def next_ip(self):
        """Return a loopback address that this lab has not used."""
        self._last_ip += 1
        return f"{self._net}.{self._last_ip}"

    def free_place(self):
        """Return an address of its own and a free port there."""
        ip = self.next_ip()
        return ip, free_port(ip)

    async def add_worker(self, id, service, zone, answer, version=0, kind=Worker):
        """Start a worker of the class `kind` and return it."""
        ip, port = self.free_place()
        worker = kind(id, service, zone, ip, port, self.store, answer, version)
        await worker.start()
        self.workers.append(worker)
        return worker

    def add_routers(self, zones):
        """Start a router in each of `zones`."""
        ips = [self.next_ip() for _ in zones]
        names = ("front", "ready", "control", "range")
        ports = {name: free_port(*ips) for name in names}
        for index, zone in enumerate(zones):
            router = Router(
                f"edge-{zone}-{index}",
                zone,
                ips[index],
                ports,
                self.store.address,
                self._bounds,
                self._folder,
                ips[:3],
            )
            router.start()
            self.routers.append(router)

    async def wait_until_ready(self, timeout=30):
        """Wait until all routers are ready; raise TimeoutError."""
        deadline = time.monotonic() + timeout
        while not all([await router.is_ready() for router in self.routers]):
            if time.monotonic() > deadline:
                raise TimeoutError("the routers are not ready")
            await asyncio.sleep(0.1)

    def end(self):
        """End all processes that were started, and remove their files."""
        for router in self.routers:
            router.end()
        shutil.rmtree(self._folder, ignore_errors=True)


async def ask(address, request, timeout):
    """Send a request on a new connection; return its status and its body.

    The status is 0 if the connection ended without a complete answer.
    """
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0, b""
    try:
        writer.write(request)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        writer.close()


async def read_answer(reader):
    """Return the status and the body of an answer with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return 0, b""
    status = int(head[0].split(" ")[1])
    if "content-length" in head[1]:
        return status, await reader.readexactly(int(head[1]["content-length"]))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    return status, body


def free_port(*ips):
    """Return a port that is free at all of `ips`."""
    while True:
        port = random.randint(10_000, 30_000)
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return port


def encode_request(method, path, id, fields=(), body=b"", key=KEY):
    """Return the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Mulberryhub-Attempt-Id: {id}", f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def prompt_fields(deadline_ms, prompt_tokens=826, output_tokens=159):
    """Return the header fields of a request to a model."""
    own = prompt_tokens - 198
    return [
        ("X-Mulberryhub-Deadline-Ms", deadline_ms),
        ("X-Mulberryhub-Model", MODEL),
        ("X-Mulberryhub-Token-Count", f"{prompt_tokens},{output_tokens}"),
        ("X-Mulberryhub-Prompt-Prefix", f"5c1e07a2:198,{new_part()}:{own}"),
    ]


def new_part():
    """Return the id of a part of a prompt that no other request has."""
    return f"{random.getrandbits(32):08x}"


def run_case(folder, case):
    """Run `case(has_trouble)`, which returns whether the rule held, and exit."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(_run_until_signal(case(has_trouble)))
    except (TimeoutError, OSError, AssertionError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    raise SystemExit(0 if held else 1)


async def _run_until_signal(case):
    """Run a case; SIGTERM cancels it, so that it ends what it started."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await case
