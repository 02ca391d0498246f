"""Measures what a router costs for each token that it relays.

Run `python -m benchmarks.relay`; it prints one JSON object. The same run measures a
bare recv and a bare send of the same bytes, and the time to the first token with
and without the router.
"""

import json
import os
import selectors
import socket
import time
from multiprocessing import Process
from statistics import quantiles

import defopt
import msgspec

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, Topology

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
READ_SIZE = 65_536  # bytes
BARE_EVENTS = 3_000
BARE_INTERVAL = 0.001  # s
SETTLE_TIME = 2.0  # s
PATH = "/v1/chat/completions"
UNLIMITED = 1_000_000_000  # tokens


class Load(msgspec.Struct):
    """Cost at one load; processor time in microseconds per token event.

    What the router uses without requests is not counted. Memory is in KiB.
    """

    streams: int
    tokens_per_second: int
    processor_time: float
    cores: float
    ratio_to_bare: float
    memory_per_stream: float


class FirstToken(msgspec.Struct):
    """Time to the first token in ms."""

    p50: float
    p95: float
    p99: float


class Result(msgspec.Struct):
    """Figures of one run."""

    bare_recv_and_send: float
    loads: list[Load]
    direct: FirstToken
    routed: FirstToken


class RelayFleet(Topology):
    """One router and engines that generate at a fixed rate."""

    def __init__(self, engines, token_time):
        options = ("--token-time", token_time, "--slots", 2_000)
        options += ("--prefill-cost", 0, "--cache-tokens", 10_000)
        super().__init__(1, engines, options, services=False)

    def __enter__(self):
        super().__enter__()
        apply_inventory(self.router, self.inventory())
        wait_ready([self.router])
        return self

    def inventory(self):
        """Return the inventory with allowances out of the way."""
        document = super().inventory()
        for workspace in document["workspaces"]:
            workspace |= {"rate": UNLIMITED, "burst": UNLIMITED}
        return document

    @property
    def router(self):
        """Return the router's process."""
        return self.routers_by_id["vm-1"]


def http_request(body, scope=""):
    """Return the bytes of a completions request."""
    data = json.dumps(body).encode()
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        f"Connection: close\r\nX-Cache-Scope: {scope}\r\n\r\n"
    )
    return head.encode() + data


def chat_body(index, tokens):
    """Return a streamed chat of `tokens` tokens."""
    message = {"role": "user", "content": f"question {index} on a revolving door"}
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    return {**body, "messages": [message]}


def connect(address):
    """Return a blocking connection to `address`."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)))


def processor_time(pid):
    """Return the processor time of a process in s."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_memory(pid):
    """Return the resident memory of a process in KiB."""
    with open(f"/proc/{pid}/status") as file:
        lines = [line for line in file if line.startswith("VmRSS")]
    return int(lines[0].split()[1])


def idle_cores(pid):
    """Return the cores that a router uses without requests."""
    started, used = time.monotonic(), processor_time(pid)
    time.sleep(SETTLE_TIME)
    return (processor_time(pid) - used) / (time.monotonic() - started)


def count_events(connections, duration):
    """Read from all connections for `duration` s and return the events seen."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection, selectors.EVENT_READ)
    events = 0
    deadline = time.monotonic() + duration
    while time.monotonic() < deadline:
        for key, _ in selector.select(0.1):
            data = key.fileobj.recv(READ_SIZE)
            events += data.count(b"data: {")
            if not data:
                selector.unregister(key.fileobj)
    selector.close()
    return events


def measure_load(streams, rate, duration, bare):
    """Return the Load of a router with `streams` streams of `rate` tokens/s each."""
    engines = max(1, min(4, streams * rate // 3_000))
    with RelayFleet(engines, 1_000 / rate) as fleet:
        pid = fleet.router.popen.pid
        idle = resident_memory(pid)
        control = idle_cores(pid)
        connections = [connect(fleet.router.address) for _ in range(streams)]
        for index, connection in enumerate(connections):
            connection.sendall(http_request(chat_body(index, 90_000)))
        count_events(connections, SETTLE_TIME)
        memory = (resident_memory(pid) - idle) / streams
        started, used = time.monotonic(), processor_time(pid)
        events = count_events(connections, duration)
        used = processor_time(pid) - used
        elapsed = time.monotonic() - started
        used -= control * elapsed
        for connection in connections:
            connection.close()
    cost = used / max(1, events) * 1e6
    return Load(
        streams,
        round(events / elapsed),
        round(cost, 1),
        round(used / elapsed, 3),
        round(cost / bare, 2),
        round(memory, 1),
    )


def tcp_pair():
    """Return both ends of a loopback connection without delay."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        ends = client, server.accept()[0]
    for end in ends:
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return ends


def feed_bare(source, sink, data):
    """Send `data` at intervals and wait for what comes back each time."""
    for _ in range(BARE_EVENTS):
        time.sleep(BARE_INTERVAL)
        source.sendall(data)
        sink.recv(READ_SIZE)


def measure_bare(received, sent):
    """Return the processor time in microseconds of one recv and one send.

    The other ends are another process, which has to be woken each time as it is
    at low load.
    """
    source, reader = tcp_pair()
    writer, sink = tcp_pair()
    feeder = Process(target=feed_bare, args=(source, sink, received))
    feeder.start()
    started = time.thread_time_ns()
    for _ in range(BARE_EVENTS):
        reader.recv(READ_SIZE)
        writer.send(sent)
    used = time.thread_time_ns() - started
    feeder.join()
    for end in (source, reader, writer, sink):
        end.close()
    return used / BARE_EVENTS / 1_000


def sample_event(address):
    """Return the bytes of one event as they arrive from `address`."""
    with connect(address) as connection:
        connection.sendall(http_request(chat_body(0, 20)))
        for _ in range(8):
            data = connection.recv(READ_SIZE)
    return data


def first_token_time(address, index):
    """Return the time to the first token of a new request in ms."""
    started = time.perf_counter()
    with connect(address) as connection:
        connection.sendall(http_request(chat_body(index, 2)))
        data = b""
        while b"data: {" not in data:
            data += connection.recv(READ_SIZE)
        return (time.perf_counter() - started) * 1_000


def measure_first_tokens(rate, duration):
    """Return FirstToken of engines alone and through the router, in turns."""
    with RelayFleet(1, 5) as fleet:
        addresses = (fleet.engines_by_id["engine-1"].address, fleet.router.address)
        times = ([], [])
        started = time.monotonic()
        for index in range(int(rate * duration)):
            time.sleep(max(0, started + index / rate - time.monotonic()))
            side = index % 2
            times[side].append(first_token_time(addresses[side], index))
    return [first_token(items) for items in times]


def first_token(times):
    """Return the percentiles of `times`."""
    cuts = quantiles(times, n=100)
    return FirstToken(*(round(cuts[index], 2) for index in (49, 94, 98)))


def run(*, duration: float = 8.0, rate: int = 40, streams: list[int] = (5, 400)):
    """Measure and print the figures.

    :param duration: s at each load
    :param rate: tokens per second of each stream
    :param streams: numbers of streams to measure at
    """
    with RelayFleet(1, 20) as fleet:
        received = sample_event(fleet.engines_by_id["engine-1"].address)
        sent = sample_event(fleet.router.address)
    bare = measure_bare(received, sent)
    loads = [measure_load(count, rate, duration, bare) for count in streams]
    direct, routed = measure_first_tokens(45, duration)
    result = Result(round(bare, 1), loads, direct, routed)
    print(msgspec.json.format(msgspec.json.encode(result)).decode())


if __name__ == "__main__":
    defopt.run(run)
