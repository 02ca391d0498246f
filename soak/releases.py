"""Releases a service during a run, and checks how the release ends.

The workers of this service get no faults, so that its version is good; routers, the
store and the links to it do.
"""

import time

import msgspec

from benchmarks.ports import free_address
from mulberryhub.adapter_standins.documents import call_headers, release_order
from mulberryhub.adapter_standins.worker import RunLine
from mulberryhub.base.green import sleep, spawn_n, urllib3
from soak.fleet import RELEASED_SERVICE as SERVICE
from soak.invariants import Violation

OLD, NEW = "1.0", "1.1"
WORKERS_PER_VERSION = 2
DURATION_S = 5
STORE_RECOVERY_S = 6.0
END_MARGIN_S = 3.0  # for another router to decide
END_TIMEOUT_S = DURATION_S + STORE_RECOVERY_S + END_MARGIN_S  # after the last fault
END_EFFECT_MS = 3_000  # for routers that start to learn of the end
REQUEST_PAUSE_S = 0.02
REQUEST_TIMEOUT_S = 4
POLL_INTERVAL_S = 0.1
OBSERVED_S = 2.0  # after the end


class SoakRelease:
    """Workers of two versions of one service, a client, and the order."""

    def __init__(self, fleet, key):
        self._fleet = fleet
        self._key = key
        self._runs_path = fleet.folder / f"{SERVICE}.jsonl"
        self._runs_path.touch()
        self._is_running = True
        self._request_count = 0
        self._last_state = None  # a trimmed topic does not list it
        for version in (OLD, NEW):
            for number in range(WORKERS_PER_VERSION):
                self._start_worker(f"{SERVICE}-{version}-{number}", version)
        spawn_n(self._send_requests)

    def order(self):
        """Order the release; it is written again to a store that lost it."""
        self._fleet.orders = [release_order(SERVICE, NEW, DURATION_S)]
        self._fleet.write_orders()

    def check(self):
        """Stop the client; return Violations unless the release was completed."""
        try:
            return self._find_violations()
        finally:
            self._is_running = False

    def _find_violations(self):
        deadline = time.monotonic() + END_TIMEOUT_S
        while self._state() != "completed":
            if time.monotonic() > deadline:
                return [Violation("release", SERVICE, f"state {self._state()}")]
            sleep(POLL_INTERVAL_S)
        ended_at = time.time() * 1000
        sleep(END_EFFECT_MS / 1000 + OBSERVED_S)
        return [
            Violation("release", line.id, f"executed at {line.worker} after its end")
            for line in self._runs()
            if line.at > ended_at + END_EFFECT_MS and f"-{OLD}-" in line.worker
        ]

    def _start_worker(self, id, version):
        fields = {
            "id": id,
            "service": SERVICE,
            "zone": "a",
            "software": version,
            "runs_path": str(self._runs_path),
            "heartbeat_s": 1.2,
        }
        self._fleet.start_worker_process(free_address(), fields)

    def _send_requests(self):
        pool = urllib3.PoolManager(retries=False)
        while self._is_running:
            self._request_count += 1
            router = self._fleet.routers[self._request_count % len(self._fleet.routers)]
            headers = call_headers(f"app-{self._request_count}", self._key)
            url = f"http://{router.front}/a/x"
            try:
                pool.request("GET", url, headers=headers, timeout=REQUEST_TIMEOUT_S)
            except urllib3.exceptions.HTTPError:
                sleep(POLL_INTERVAL_S)
            sleep(REQUEST_PAUSE_S)

    def _state(self):
        """Return the newest state in the store, None without one."""
        path = f"/releases/{SERVICE}"
        states = self._fleet.store.request("GET", path).json()
        self._last_state = states[-1] if states else self._last_state
        return self._last_state

    def _runs(self):
        lines = self._runs_path.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=RunLine) for line in lines]
