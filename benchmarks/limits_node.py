"""Runs the limiter of one router under generated load, as a process of its own.

Started by `benchmarks.limits` with a Plan in JSON as the argument. When the plan has
ended, it writes a Record in JSON to the plan's `output`.
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
REQUEST_TIMEOUT_MS = 10_000
SETTLE_WAIT_S = 3.0  # for requests that still run at the end of the plan
TCP_INFO_SIZE_BYTES = 256
# Offsets in struct tcp_info, in bytes.
BYTE_COUNTS_OFFSET = 120  # tcpi_bytes_acked, tcpi_bytes_received
SEGMENT_COUNTS_OFFSET = 136  # tcpi_segs_out, tcpi_segs_in

SEGMENT_HEADER_BYTES = 52  # IP and TCP headers


class Plan(msgspec.Struct):
    """The load that one node generates; times are monotonic in ms, rates in tokens/s.

    Requests cost `least_cost` to `most_cost` tokens and arrive at the rate `offered`,
    from `changed_at` on at `changed_offered`. Each admitted request uses a random
    share of its cost, at least `used_share`.
    """

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
    """One request; times are in ms.

    `admitted` is the time at which its cost was debited, None if it was refused.
    """

    workspace: str
    arrived: int
    cost: int
    used: int
    admitted: int | None
    ended: int


class Record(msgspec.Struct):
    """Requests and resource use of one node between start and end of its plan.

    `processor_time` is in seconds of CPU, `bytes_moved` is the traffic with peers.
    """

    vm: str
    arrivals: list[Arrival]
    processor_time: float
    calls_made: int
    bytes_moved: int
    counters: dict[str, int]


class FixedConfig:
    """A replica stub with the workspaces of a plan; its configuration never changes."""

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
    """A peer client that counts its calls."""

    call_count = 0

    def call(self, *arguments):
        """Count the call and send it."""
        self.call_count += 1
        return super().call(*arguments)


def peer_traffic_bytes(log_port):
    """Return the bytes sent and received on all TCP connections except to the log."""
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
    """Return the bytes sent and received on a TCP socket, headers included."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE_BYTES)
    sent, received = struct.unpack_from("QQ", info, BYTE_COUNTS_OFFSET)
    segments_out, segments_in = struct.unpack_from("II", info, SEGMENT_COUNTS_OFFSET)
    return sent + received + SEGMENT_HEADER_BYTES * (segments_out + segments_in)


class LoadGenerator:
    """Sends requests to a limiter as a Poisson process, regardless of their results."""

    def __init__(self, plan, limiter, clock):
        self.arrivals = []
        self._plan = plan
        self._limiter = limiter
        self._clock = clock
        self._random = random.Random(plan.seed)
        self._workspaces = list(FixedConfig(plan).current().workspaces_by_id.values())

    def run(self):
        """Send requests until the end of the plan."""
        plan, next_arrival = self._plan, float(self._plan.start)
        mean_cost = (plan.least_cost + plan.most_cost) / 2
        while True:
            now = self._clock.now()
            offered = (
                plan.offered if next_arrival < plan.changed_at else plan.changed_offered
            )
            if offered <= 0:
                if plan.changed_offered <= 0 or next_arrival >= plan.changed_at:
                    sleep(max(0, plan.end - now) / 1000)
                    return
                next_arrival = float(plan.changed_at)
                continue
            next_arrival += self._random.expovariate(offered / mean_cost) * 1000
            if next_arrival >= plan.end:
                return
            sleep(max(0, next_arrival - self._clock.now()) / 1000)
            spawn_n(self._send_request)

    def _send_request(self):
        plan = self._plan
        workspace = self._random.choice(self._workspaces)
        cost = self._random.randint(plan.least_cost, plan.most_cost)
        arrived = self._clock.now()
        arrival = Arrival(workspace.id, arrived, cost, cost, None, 0)
        self.arrivals.append(arrival)
        try:
            grant = self._limiter.admit(workspace, cost, arrived + REQUEST_TIMEOUT_MS)
        except ApiError:
            arrival.ended = self._clock.now()
            return
        arrival.admitted = grant.debited_at
        if plan.used_share < 1:
            sleep(self._random.uniform(0.05, 0.5))
            used = int(cost * self._random.uniform(plan.used_share, 1))
            grant.settle(used)
            arrival.used = used
        arrival.ended = self._clock.now()


def run(plan):
    """Run one node to the end of its plan, write its record and exit the process."""
    clock, counters = Clock(), Counters()
    peer_server = PeerServer("127.0.0.1:0", PEER_KEY, counters)
    peer_client = CountingClient(PEER_KEY, clock, counters)
    peer_server.start()
    router = RouterIdentity(plan.vm, "dc", peer_server.address)
    limiter = Limiter(
        router, FixedConfig(plan), peer_client, peer_server, clock, counters
    )
    log_client = LogClient(plan.log_address)
    membership = Membership(
        router, log_client, None, clock, fits_view=limiter.is_within_view
    )
    membership.on_change(limiter.update_members)
    limiter.start()
    membership.start()
    print(f"listening on {peer_server.address}", flush=True)
    sleep(max(0, plan.start - clock.now()) / 1000)
    log_port = int(plan.log_address.rsplit(":", 1)[1])
    cpu_time, wire_bytes = time.process_time(), peer_traffic_bytes(log_port)
    peer_client.call_count = 0
    load_generator = LoadGenerator(plan, limiter, clock)
    load_generator.run()
    cpu_time, wire_bytes = (
        time.process_time() - cpu_time,
        peer_traffic_bytes(log_port) - wire_bytes,
    )
    call_count = peer_client.call_count
    sleep(SETTLE_WAIT_S)
    record = Record(
        plan.vm,
        load_generator.arrivals,
        cpu_time,
        call_count,
        wire_bytes,
        dict(counters.by_name),
    )
    with open(f"{plan.output}.part", "wb") as file:
        file.write(msgspec.json.encode(record))
    os.rename(f"{plan.output}.part", plan.output)
    os._exit(0)


if __name__ == "__main__":
    run(msgspec.json.decode(sys.argv[1], type=Plan))
