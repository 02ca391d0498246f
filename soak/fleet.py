"""Starts and controls the processes of a run: a store, workers and routers.

Connections to the store and to workers pass through links that can inject faults.
"""

import signal
from pathlib import Path
from threading import Thread

import msgspec

from benchmarks.ports import free_address
from benchmarks.processes import ProcessGroup
from mulberryhub.adapter_standins.documents import (
    MODEL,
    make_config,
    route,
    tenant,
    token_limit,
)
from mulberryhub.adapter_standins.fleet import RouterProcess
from mulberryhub.adapter_standins.worker import RunLine
from mulberryhub.base.green import Timeout, sleep
from soak.links import Link, LinkFault

DATA_CENTRES = ("a", "b", "c")
MODEL_WORKER_COUNT = 3
PLAIN_WORKER_COUNT = 2  # workers without a model
WEIGHTS_ROLLOUT_MS = 6_000  # limit for new weights to be in use everywhere
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2  # between two registrations of a worker
LIMITED_RATE_TOKENS_PER_S = 1_500
QUOTA_SLACK_TOKENS = 4_320
UNLIMITED_WORKSPACE = "t1"
LIMITED_WORKSPACE = "t2"
RELEASED_SERVICE = "app"
RELEASED_ROUTE = route(
    RELEASED_SERVICE, "/a/", "idempotent", RELEASED_SERVICE, maxAttempts=2
)
PERMANENT_KEYS = {  # never withdrawn
    UNLIMITED_WORKSPACE: "key-kept",
    LIMITED_WORKSPACE: "key-limited",
}


class Worker:
    """A worker process with its own address and the link to it."""

    __slots__ = ("id", "service", "link", "process", "address")

    def __init__(self, id, service, link, process, address):
        self.id = id
        self.service = service
        self.link = link
        self.process = process
        self.address = address


class SoakFleet:
    """All processes of a run; workers append each execution to a file in `folder`."""

    def __init__(self, folder, router_count):
        self.folder = Path(folder)
        self.runs_path = self.folder / "runs.jsonl"
        self.runs_path.touch()
        self.weights_version = 1
        self.configuration_version = 1
        self.spare_keys = ["key-spare-1"]
        self.orders = []  # pairs of key and document
        self._deregistered_ids = []
        self._processes = ProcessGroup()
        self.store = self._processes.start("mulberryhub.adapter_standins.store")
        self.store_links = [Link(self.store.address) for _ in range(router_count)]
        self.workers = []
        for index in range(MODEL_WORKER_COUNT):
            self.add_worker(f"w{index}", "llm")
        for index in range(PLAIN_WORKER_COUNT):
            self.add_worker(f"p{index}", "desk")
        self.routers = [
            RouterProcess(
                f"r{index}",
                DATA_CENTRES[index % len(DATA_CENTRES)],
                link.address,
                self.folder,
                WEIGHTS_ROLLOUT_MS,
                QUOTA_SLACK_TOKENS,
            )
            for index, link in enumerate(self.store_links)
        ]

    def add_worker(self, id, service):
        """Start a worker that is registered under the address of its own link."""
        address = free_address()
        link = Link(address)
        zone = DATA_CENTRES[len(self.workers) % len(DATA_CENTRES)]
        entry = {
            "id": id,
            "service": service,
            "zone": zone,
            "listed": link.address,
            "runs_path": str(self.runs_path),
            "heartbeat_s": HEARTBEAT_S,
        }
        if service == "llm":
            entry |= {"model": MODEL, "version": self.weights_version}
        process = self.start_worker_process(address, entry)
        self.workers.append(Worker(id, service, link, process, address))

    def start_worker_process(self, address, entry):
        """Start a worker with the settings `entry`, and return its Process."""
        return self._start_in_thread(
            "mulberryhub.adapter_standins.worker",
            address,
            self.store.address,
            msgspec.json.encode(entry).decode(),
        )

    def _start_in_thread(self, *arguments):
        """Start a process from a native thread.

        The start blocks until the process listens, which would stop the green threads
        of the links.
        """
        started = []
        thread = Thread(
            target=lambda: started.append(self._processes.start(*arguments))
        )
        thread.start()
        while thread.is_alive():
            sleep(POLL_INTERVAL_S)
        return started[0]

    def replace_worker(self, worker):
        """Kill a worker and start a replacement under a new id."""
        worker.process.send_signal(signal.SIGCONT)
        worker.process.kill()
        worker.link.close()
        self.workers.remove(worker)
        self._deregister(worker)
        self.add_worker(f"{worker.id}n", worker.service)

    def drain_worker(self, worker):
        """Deregister a worker and let it announce its shutdown; it still serves."""
        self.workers.remove(worker)
        worker.process.set_faults(leaving=True, departing=True)
        self._deregister(worker)

    def _deregister(self, worker):
        self._deregistered_ids.append(worker.id)
        self.store.request("POST", f"/worker/{worker.id}", body=b"")

    def write_again(self):
        """Write what the operator wrote, and removals, to a store that lost them."""
        self._write_configuration()
        self._write_weights_version()
        self.write_orders()
        for id in self._deregistered_ids:
            self.store.request("POST", f"/worker/{id}", body=b"")

    def write_orders(self):
        """Write the operator's orders of releases."""
        for key, document in self.orders:
            self.write_operator_record(key, document)

    def publish_configuration(self):
        """Write a new configuration version with the permanent and the spare keys."""
        self.configuration_version += 3
        self._write_configuration()

    def _write_configuration(self):
        unlimited_keys = [PERMANENT_KEYS[UNLIMITED_WORKSPACE], *self.spare_keys]
        limited_keys = [PERMANENT_KEYS[LIMITED_WORKSPACE]]
        tenants = [
            tenant(UNLIMITED_WORKSPACE, unlimited_keys, isolated=True),
            tenant(
                LIMITED_WORKSPACE,
                limited_keys,
                **token_limit(LIMITED_RATE_TOKENS_PER_S),
            ),
        ]
        configuration = make_config(self.configuration_version, tenants=tenants)
        configuration["routes"].append(RELEASED_ROUTE)
        configuration["services"].append({"name": RELEASED_SERVICE})
        self.write_operator_record("config", configuration)

    def publish_weights_version(self):
        """Write the next version number of the model's weights."""
        self.weights_version += 1
        self._write_weights_version()

    def _write_weights_version(self):
        self.write_operator_record(
            f"version/{MODEL}", {"model": MODEL, "version": self.weights_version}
        )

    def write_operator_record(self, key, document):
        """Write a record to the store in the role of the operator."""
        body = msgspec.json.encode(document)
        self.store.request("POST", f"/operator/{key}", body=body)

    def wait_until_ready(self):
        """Wait until all routers report that they are ready.

        Raise Timeout after READY_TIMEOUT_S.
        """
        with Timeout(READY_TIMEOUT_S):
            while not all(router.is_ready() for router in self.routers):
                sleep(POLL_INTERVAL_S)

    def read_executions(self):
        """Return a RunLine for each execution of a request by a worker so far."""
        lines = self.runs_path.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=RunLine) for line in lines]

    def clear_faults(self):
        """Clear all faults, resume paused processes and start stopped routers."""
        for link in [*self.store_links, *(item.link for item in self.workers)]:
            link.set_fault(LinkFault.NONE)
        self.store.set_faults(refuse=None, hang=None, lose=None)
        for worker in self.workers:
            worker.process.send_signal(signal.SIGCONT)
            worker.process.set_faults(
                shed=None,
                retry_after=None,
                error=None,
                cut=None,
                silent=None,
                limit=None,
            )
        for router in self.routers:
            if router.popen.poll() is not None:
                router.start()
            router.popen.send_signal(signal.SIGCONT)

    def close(self):
        """Kill all processes that this fleet started."""
        for router in self.routers:
            if router.popen.poll() is None:
                router.popen.kill()
            router.popen.wait()
        self._processes.__exit__()
