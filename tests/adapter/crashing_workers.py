"""A stand-in service whose workers crash when they start to run certain requests."""

import socket
import struct
import threading
import time
from itertools import count

import msgspec

from mulberryhub.adapter_standins.documents import MODEL
from mulberryhub.adapter_standins.fleet import wait_until
from tests.adapter.raw_workers import read_whole_request

ENTRY_EXPIRY_S = 3.6  # the store drops a worker's entry after this time of silence
CRASH_BODY_PREFIX = b"crashes its worker"
# Of one event, so that it is a valid answer of each kind of route.
ANSWER = (
    "HTTP/1.1 200 OK\r\nX-Mulberryhub-Response-Seal: {worker}\r\n"
    "X-Mulberryhub-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: 16\r\n\r\nid: 1\ndata: ok\n\n"
)

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nX-Mulberryhub-Response-Seal: {worker}\r\n"
    "X-Mulberryhub-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
EVENT_COUNT = 4  # of a stream

_worker_numbers = count(1)


class Crash(msgspec.Struct):
    """Crash of a worker at the monotonic time `at` (s)."""

    at: float
    worker_id: str
    request_id: str


class CrashingService:
    """Workers of `service` that listen on loopback and restart under new ids.

    Later services get other ids, as entries of crashed workers are removed late.
    A worker crashes on a request whose body starts with CRASH_BODY_PREFIX: its
    connections and its listener close. Its entry in the store is removed after
    `deregister_delay` s if `deregisters` is set, otherwise after ENTRY_EXPIRY_S.
    Another worker starts after `restart_delay` s. A request takes `run_time` s. Other
    keyword arguments replace fields of the entry.
    """

    def __init__(self, platform, service, workers=4, restart_delay=1.0, **entry_fields):
        self.crashes = []
        self.runs = []
        self.restart_delay = restart_delay
        self.deregisters = entry_fields.pop("deregisters", False)
        self.run_time = entry_fields.pop("run_time", 0.0)
        self._deregister_delay = entry_fields.pop("deregister_delay", 0.0)
        self._entry_fields = entry_fields
        self._platform = platform
        self._service = service
        self._lock = threading.Lock()
        self._closed = False
        self._workers = {}
        for _ in range(workers):
            self._start()

    def close(self):
        """Stop all workers and start no others."""
        with self._lock:
            self._closed = True
            workers = list(self._workers.values())
        for worker in workers:
            worker.close()
            self._write(worker.id, b"")

    def crash_all(self):
        """Crash all workers at once, whatever they run; others replace them."""
        for worker in list(self._workers.values()):
            self._crash(worker)

    def crash_one(self):
        """Crash one worker without a request as the cause; another one replaces it."""
        workers = list(self._workers.values())
        if workers:
            self._crash(workers[0])

    def live_count(self):
        """Return the number of workers that accept requests."""
        return len(self._workers)

    def handle(self, worker, conn, request):
        """Run a request; return whether the connection can serve another one."""
        self.runs.append(request.id)
        if request.body.startswith(CRASH_BODY_PREFIX):
            self.crash_under(worker, request)
            return False
        time.sleep(self.run_time)
        conn.sendall(ANSWER.format(worker=worker.id, id=request.id).encode())
        return True

    def crash_under(self, worker, request):
        """Crash a worker because of a request that it runs."""
        with self._lock:
            self.crashes.append(Crash(time.monotonic(), worker.id, request.id))
        self._crash(worker)

    def _start(self):
        with self._lock:
            if self._closed:
                return
            worker = Worker(f"{self._service}-{next(_worker_numbers)}", self)
            self._workers[worker.id] = worker
        entry = {
            "service": self._service,
            "address": worker.address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "born": int(time.time() * 1000),
            "sequence": 1,
            "models": [],
            **self._entry_fields,
        }
        self._write(worker.id, msgspec.json.encode(entry))

    def _crash(self, worker):
        with self._lock:
            if self._workers.pop(worker.id, None) is None:
                return
        worker.close()
        removal_delay = self._deregister_delay if self.deregisters else ENTRY_EXPIRY_S
        threading.Timer(removal_delay, self._write, (worker.id, b"")).start()
        threading.Timer(self.restart_delay, self._start).start()

    def _write(self, id, body):
        self._platform.store.request("POST", f"/worker/{id}", body=body)


class StreamingService(CrashingService):
    """Workers that stream events and crash on prompts that share a certain part.

    A worker crashes once it has sent the first event of an answer to a prompt with a
    part in `crash_parts`, unless it is the last part. `arrivals` are the monotonic
    times (s) at which requests with such a part reached workers.
    """

    def __init__(self, platform, service, crash_parts, **more):
        self.crash_parts = set(crash_parts)
        self.arrivals = []
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        super().__init__(platform, service, models=models, **more)

    def handle(self, worker, conn, request):
        """Run a request; return whether the connection can serve another one."""
        is_bad = not self.crash_parts.isdisjoint(request.parts[:-1])
        if is_bad:
            self.arrivals.append(time.monotonic())
        self.runs.append(request.id)
        time.sleep(self.run_time)
        head = STREAM_HEAD.format(worker=worker.id, id=request.id)
        conn.sendall(head.encode())
        for number in range(request.last_event_id + 1, EVENT_COUNT + 1):
            conn.sendall(_chunk(f"id: {number}\ndata: x\n\n".encode()))
            if is_bad:
                self.crash_under(worker, request)
                return False
            time.sleep(self.run_time / EVENT_COUNT)
        conn.sendall(_chunk(b""))
        return True


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Worker:
    """One incarnation of a worker: a listener and its connections."""

    def __init__(self, id, service):
        self.id = id
        self._service = service
        self._connections = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Close the listener and reset all connections, as at the exit of a process."""
        # close() alone leaves the socket open while a thread waits in accept().
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in list(self._connections):
            reset(conn)

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._connections.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            while (request := read_whole_request(conn)) is not None:
                if not self._service.handle(self, conn, request):
                    return
        except OSError:
            return
        finally:
            self._connections.discard(conn)


def reset(conn):
    """Close a connection with a reset, even while another thread reads from it."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # Already closed by the peer.
    conn.close()


def wait_until_served(router, path, id):
    """Wait until the router answers a normal request with 200."""
    wait_until(lambda: router.ask(path, id=id).status == 200)
