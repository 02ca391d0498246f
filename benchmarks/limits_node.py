"""One router's allowances as a program, driven by callers of its own.

Used by `benchmarks.limits`. The argument is a JSON Plan; the program writes a
Record of what happened as JSON to the plan's file when the run ends.
"""

import os
import random
import socket
import struct
import sys
import time

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.config.inventory import Inventory, Workspace
from mulberryhub.config.view import ConfigView
from mulberryhub.external.log import LogClient
from mulberryhub.limits.limiter import Limiter
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.members import RouterIdentity
from mulberryhub.peers.server import PeerServer
from mulberryhub.replica.membership import Membership

PEER_KEY = "benchmark"
DEADLINE = 10_000  # ms
SETTLE_WAIT = 3.0  # s
TCP_INFO_SIZE = 256  # bytes
TCP_INFO_BYTES = 120  # offset of bytes acknowledged and received
TCP_INFO_SEGMENTS = 136  # offset of segments out and in
SEGMENT_HEADER = 52  # bytes of IP and TCP headers


class Plan(msgspec.Struct):
    """What one node does; times are monotonic in ms, rates in tokens/s."""

    vm: str
    log_address: str
    output: str
    workspaces: int
    rate: float
    burst: float
    start: int
    end: int
    offered: float
    changed_at: int
    changed_offered: float
    least_cost: int
    most_cost: int
    used_share: float
    seed: int


class Arrival(msgspec.Struct, array_like=True):
    """One request; `admitted` is the time of its debit in ms, or None."""

    workspace: str
    arrived: int
    cost: int
    used: int
    admitted: int | None
    ended: int


class Record(msgspec.Struct):
    """What one node saw and used between start and end of its plan."""

    vm: str
    arrivals: list[Arrival]
    processor_time: float
    calls_made: int
    bytes_moved: int
    counters: dict[str, int]


class FixedConfig:
    """A configuration that never changes."""

    def __init__(self, plan):
        workspaces = [
            Workspace(f"w{index}", plan.rate, plan.burst)
            for index in range(plan.workspaces)
        ]
        self._view = ConfigView(0, Inventory(workspaces=workspaces))

    def current(self):
        """Return the ConfigView."""
        return self._view


class CountingClient(PeerClient):
    """A client that counts its calls."""

    calls = 0

    def call(self, *arguments):
        """Call a peer."""
        self.calls += 1
        return super().call(*arguments)


def peer_bytes(log_port):
    """Return the bytes on the wire of all TCP connections but those to the log."""
    total = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            link = os.readlink(f"/proc/self/fd/{name}")
            if not link.startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as sock:
                if sock.getpeername()[1] == log_port:
                    continue
                total += connection_bytes(sock)
        except (OSError, IndexError, TypeError):
            continue
    return total


def connection_bytes(sock):
    """Return the bytes sent and received on a TCP socket, with its headers."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    sent, received = struct.unpack_from("QQ", info, TCP_INFO_BYTES)
    segments_out, segments_in = struct.unpack_from("II", info, TCP_INFO_SEGMENTS)
    return sent + received + SEGMENT_HEADER * (segments_out + segments_in)


class Driver:
    """Sends requests to a limiter at random times, whatever becomes of them."""

    def __init__(self, plan, limiter, clock):
        self.arrivals = []
        self._plan = plan
        self._limiter = limiter
        self._clock = clock
        self._random = random.Random(plan.seed)
        self._workspaces = list(FixedConfig(plan).current().workspaces_by_id.values())

    def run(self):
        """Send requests from the plan's start to its end."""
        plan, due = self._plan, float(self._plan.start)
        mean_cost = (plan.least_cost + plan.most_cost) / 2
        while True:
            now = self._clock.now()
            offered = plan.offered if due < plan.changed_at else plan.changed_offered
            if offered <= 0:
                if plan.changed_offered <= 0 or due >= plan.changed_at:
                    sleep(max(0, plan.end - now) / 1000)
                    return
                due = float(plan.changed_at)
                continue
            due += self._random.expovariate(offered / mean_cost) * 1000
            if due >= plan.end:
                return
            sleep(max(0, due - self._clock.now()) / 1000)
            spawn_n(self._request)

    def _request(self):
        plan = self._plan
        workspace = self._random.choice(self._workspaces)
        cost = self._random.randint(plan.least_cost, plan.most_cost)
        arrived = self._clock.now()
        arrival = Arrival(workspace.id, arrived, cost, cost, None, 0)
        self.arrivals.append(arrival)
        try:
            grant = self._limiter.admit(workspace, cost, arrived + DEADLINE)
        except ApiError:
            arrival.ended = self._clock.now()
            return
        arrival.admitted = grant.time
        if plan.used_share < 1:
            sleep(self._random.uniform(0.05, 0.5))
            used = int(cost * self._random.uniform(plan.used_share, 1))
            grant.settle(used)
            arrival.used = used
        arrival.ended = self._clock.now()


def run(plan):
    """Run one node to the end of its plan and write its record."""
    clock, counters = Clock(), Counters()
    server = PeerServer("127.0.0.1:0", PEER_KEY, counters)
    client = CountingClient(PEER_KEY, clock, counters)
    server.start()
    router = RouterIdentity(plan.vm, "dc", server.address)
    limiter = Limiter(router, FixedConfig(plan), client, server, clock, counters)
    log_client = LogClient(plan.log_address)
    membership = Membership(
        router, log_client, None, clock, fits_view=limiter.is_within_view
    )
    membership.on_change(limiter.update_members)
    limiter.start()
    membership.start()
    print(f"listening on {server.address}", flush=True)
    sleep(max(0, plan.start - clock.now()) / 1000)
    log_port = int(plan.log_address.rsplit(":", 1)[1])
    used, moved = time.process_time(), peer_bytes(log_port)
    client.calls = 0
    driver = Driver(plan, limiter, clock)
    driver.run()
    used, moved = time.process_time() - used, peer_bytes(log_port) - moved
    calls = client.calls
    sleep(SETTLE_WAIT)
    record = Record(
        plan.vm, driver.arrivals, used, calls, moved, dict(counters.by_name)
    )
    with open(f"{plan.output}.part", "wb") as file:
        file.write(msgspec.json.encode(record))
    os.rename(f"{plan.output}.part", plan.output)
    os._exit(0)


if __name__ == "__main__":
    run(msgspec.json.decode(sys.argv[1], type=Plan))
