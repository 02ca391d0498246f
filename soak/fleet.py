"""The programs of a soak run: a store, upstreams and routers, joined by links."""

import signal
from pathlib import Path
from threading import Thread

import msgspec

from benchmarks.ports import free_address
from benchmarks.processes import Fleet
from mulberryhub.adapter_standins.documents import (
    MODEL,
    make_config,
    tenant,
    token_limit,
)
from mulberryhub.adapter_standins.fleet import RouterProcess
from mulberryhub.adapter_standins.worker import RunLine
from mulberryhub.base.green import Timeout, sleep
from soak.links import Link, LinkFault

DATA_CENTRES = ("a", "b", "c")
ENGINES = 3
PLAIN_WORKERS = 2
VERSION_TIME = 6_000  # ms
START_TIME = 30.0  # s
READY_POLL = 0.05  # s
LIMITED_RATE = 1_500  # tokens per s
QUOTA_SLACK = 4_320  # tokens
OPEN_WORKSPACE = "t1"
LIMITED_WORKSPACE = "t2"
KEPT_KEYS = {OPEN_WORKSPACE: "key-kept", LIMITED_WORKSPACE: "key-limited"}


class Worker:
    """A worker's process, the link that leads to it, and what it was started with."""

    __slots__ = ("id", "service", "link", "process", "address")

    def __init__(self, id, service, link, process, address):
        self.id = id
        self.service = service
        self.link = link
        self.process = process
        self.address = address


class SoakFleet:
    """All programs of a run; what workers ran is kept in a file."""

    def __init__(self, folder, routers):
        self.folder = Path(folder)
        self.runs_path = self.folder / "runs.jsonl"
        self.runs_path.touch()
        self.weights = 1
        self.configuration = 1
        self.spare_keys = ["key-spare-1"]
        self._programs = Fleet()
        self.store = self._programs.start("mulberryhub.adapter_standins.store")
        self.store_links = [Link(self.store.address) for _ in range(routers)]
        self.workers = []
        for index in range(ENGINES):
            self.add_worker(f"w{index}", "llm")
        for index in range(PLAIN_WORKERS):
            self.add_worker(f"p{index}", "desk")
        self.routers = [
            RouterProcess(
                f"r{index}",
                DATA_CENTRES[index % len(DATA_CENTRES)],
                link.address,
                self.folder,
                VERSION_TIME,
                QUOTA_SLACK,
            )
            for index, link in enumerate(self.store_links)
        ]

    def add_worker(self, id, service):
        """Start a worker that is listed under the address of a link of its own."""
        address = free_address()
        link = Link(address)
        zone = DATA_CENTRES[len(self.workers) % len(DATA_CENTRES)]
        entry = {
            "id": id,
            "service": service,
            "zone": zone,
            "listed": link.address,
            "runs_path": str(self.runs_path),
        }
        if service == "llm":
            entry |= {"model": MODEL, "version": self.weights}
        process = self._start_beside(
            "mulberryhub.adapter_standins.worker",
            address,
            self.store.address,
            msgspec.json.encode(entry).decode(),
        )
        self.workers.append(Worker(id, service, link, process, address))

    def _start_beside(self, *arguments):
        """Start a program in a native thread, as links must go on meanwhile."""
        started = []
        thread = Thread(target=lambda: started.append(self._programs.start(*arguments)))
        thread.start()
        while thread.is_alive():
            sleep(READY_POLL)
        return started[0]

    def replace_worker(self, worker):
        """End a worker at once and start another in its place under a new id."""
        worker.process.signal(signal.SIGCONT)
        worker.process.kill()
        worker.link.close()
        self.workers.remove(worker)
        self._unlist(worker)
        self.add_worker(f"{worker.id}n", worker.service)

    def drain_worker(self, worker):
        """Let a worker leave: it is listed no more but goes on to serve."""
        self.workers.remove(worker)
        worker.process.fault(leaving=True, departing=True)
        self._unlist(worker)

    def _unlist(self, worker):
        self.store.request("POST", f"/worker/{worker.id}", body=b"")

    def configure(self):
        """Write a configuration with the keys that are in force."""
        self.configuration += 3
        open_keys = [KEPT_KEYS[OPEN_WORKSPACE], *self.spare_keys]
        limited_keys = [KEPT_KEYS[LIMITED_WORKSPACE]]
        tenants = [
            tenant(OPEN_WORKSPACE, open_keys, isolated=True),
            tenant(LIMITED_WORKSPACE, limited_keys, **token_limit(LIMITED_RATE)),
        ]
        self.write("config", make_config(self.configuration, tenants=tenants))

    def name_weights(self):
        """Name new weights."""
        self.weights += 1
        self.write(f"version/{MODEL}", {"model": MODEL, "version": self.weights})

    def write(self, key, document):
        """Write a record of the operator."""
        body = msgspec.json.encode(document)
        self.store.request("POST", f"/operator/{key}", body=body)

    def wait_until_ready(self):
        """Wait until all routers say that they are ready."""
        with Timeout(START_TIME):
            while not all(router.is_ready() for router in self.routers):
                sleep(READY_POLL)

    def read_runs(self):
        """Return the RunLines of all workers so far."""
        lines = self.runs_path.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=RunLine) for line in lines]

    def heal(self):
        """End all faults and start what was ended."""
        for link in [*self.store_links, *(item.link for item in self.workers)]:
            link.set_fault(LinkFault.NONE)
        self.store.fault(refuse=None, hang=None, lose=None)
        for worker in self.workers:
            worker.process.signal(signal.SIGCONT)
            worker.process.fault(
                shed=None, retry_after=None, error=None, cut=None, silent=None
            )
        for router in self.routers:
            if router.popen.poll() is not None:
                router.start()
            router.popen.send_signal(signal.SIGCONT)

    def close(self):
        """End all programs that this run started."""
        for router in self.routers:
            if router.popen.poll() is None:
                router.popen.kill()
            router.popen.wait()
        self._programs.__exit__()
