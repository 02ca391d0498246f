"""Measures the CPU time that a router uses for each token that it relays.

Run `python -m benchmarks.relay`; it prints one JSON object. As a baseline, the same
run measures one recv and one send of the same bytes on plain sockets. It also
measures the time to the first token with and without the router.
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

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, LocalFleet

API_KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
READ_BYTES = 65_536
BASELINE_EVENT_COUNT = 3_000
BASELINE_INTERVAL_S = 0.001
SETTLE_S = 2.0
CHAT_PATH = "/v1/chat/completions"
UNLIMITED_TOKENS = 1_000_000_000


class LoadResult(msgspec.Struct):
    """Cost at one load.

    `processor_time` is CPU time in microseconds per token event, `cores` CPU seconds
    per second, both without what an idle router uses. `ratio_to_bare` relates
    `processor_time` to the baseline. Memory is in KiB.
    """

    streams: int
    tokens_per_second: int
    processor_time: float
    cores: float
    ratio_to_bare: float
    memory_per_stream: float


class FirstTokenPercentiles(msgspec.Struct):
    """Percentiles of the time to the first token in ms."""

    p50: float
    p95: float
    p99: float


class Result(msgspec.Struct):
    """Results of one run; `bare_recv_and_send` is CPU time in microseconds."""

    bare_recv_and_send: float
    loads: list[LoadResult]
    direct: FirstTokenPercentiles
    routed: FirstTokenPercentiles


class RelayFleet(LocalFleet):
    """One router and engines that generate a token every `token_time` ms."""

    def __init__(self, engines, token_time):
        options = ("--token-time", token_time, "--slots", 2_000)
        options += ("--prefill-cost", 0, "--cache-tokens", 10_000)
        super().__init__(1, engines, options, services=False)

    def __enter__(self):
        super().__enter__()
        apply_inventory(self.router, self.inventory())
        wait_until_ready([self.router])
        return self

    def inventory(self):
        """Return the inventory with rate limits that no load reaches."""
        document = super().inventory()
        for workspace in document["workspaces"]:
            workspace |= {"rate": UNLIMITED_TOKENS, "burst": UNLIMITED_TOKENS}
        return document

    @property
    def router(self):
        """Return the process of the router."""
        return self.routers_by_id["vm-1"]


def http_request(body, scope=""):
    """Return the bytes of an HTTP request for a chat completion."""
    content = json.dumps(body).encode()
    head = (
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        f"Connection: close\r\nX-Cache-Scope: {scope}\r\n\r\n"
    )
    return head.encode() + content


def chat_body(index, tokens):
    """Return the body of a request for a streamed chat of `tokens` tokens."""
    message = {"role": "user", "content": f"question {index} on a revolving door"}
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    return {**body, "messages": [message]}


def connect(address):
    """Return a blocking socket that is connected to `address`."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)))


def cpu_time_s(pid):
    """Return the user and system CPU time of a process in s."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_memory(pid):
    """Return the resident memory of a process in KiB."""
    with open(f"/proc/{pid}/status") as file:
        lines = [line for line in file if line.startswith("VmRSS")]
    return int(lines[0].split()[1])


def idle_cores(pid):
    """Return the CPU seconds per second that a router uses without requests."""
    started, cpu_before = time.monotonic(), cpu_time_s(pid)
    time.sleep(SETTLE_S)
    return (cpu_time_s(pid) - cpu_before) / (time.monotonic() - started)


def count_events(connections, duration):
    """Read from all connections for `duration` s and return the number of events."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection, selectors.EVENT_READ)
    events = 0
    deadline = time.monotonic() + duration
    while time.monotonic() < deadline:
        for key, _ in selector.select(0.1):
            data = key.fileobj.recv(READ_BYTES)
            events += data.count(b"data: {")
            if not data:
                selector.unregister(key.fileobj)
    selector.close()
    return events


def measure_load(streams, rate, duration, baseline):
    """Return the LoadResult for `streams` streams of `rate` tokens/s each.

    `duration` is in s; `baseline` is the result of `measure_baseline`.
    """
    engines = max(1, min(4, streams * rate // 3_000))
    with RelayFleet(engines, 1_000 / rate) as fleet:
        pid = fleet.router.popen.pid
        idle_memory = resident_memory(pid)
        idle_usage = idle_cores(pid)
        connections = [connect(fleet.router.address) for _ in range(streams)]
        for index, connection in enumerate(connections):
            connection.sendall(http_request(chat_body(index, 90_000)))
        count_events(connections, SETTLE_S)
        memory = (resident_memory(pid) - idle_memory) / streams
        started, cpu_before = time.monotonic(), cpu_time_s(pid)
        events = count_events(connections, duration)
        cpu_time = cpu_time_s(pid) - cpu_before
        elapsed = time.monotonic() - started
        cpu_time -= idle_usage * elapsed
        for connection in connections:
            connection.close()
    cost_us = cpu_time / max(1, events) * 1e6
    return LoadResult(
        streams,
        round(events / elapsed),
        round(cost_us, 1),
        round(cpu_time / elapsed, 3),
        round(cost_us / baseline, 2),
        round(memory, 1),
    )


def tcp_pair():
    """Return both ends of a loopback connection with TCP_NODELAY."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        ends = client, server.accept()[0]
    for end in ends:
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return ends


def send_and_receive(source, sink, data):
    """Send `data` at fixed intervals to `source` and read from `sink` after each."""
    for _ in range(BASELINE_EVENT_COUNT):
        time.sleep(BASELINE_INTERVAL_S)
        source.sendall(data)
        sink.recv(READ_BYTES)


def measure_baseline(received, sent):
    """Return the CPU time in microseconds of one recv and one send.

    The other ends of the connections are in another process that sends at intervals,
    so each recv blocks and includes a wake-up, as it does in a router at low load.
    """
    source, reader = tcp_pair()
    writer, sink = tcp_pair()
    peer = Process(target=send_and_receive, args=(source, sink, received))
    peer.start()
    started = time.thread_time_ns()
    for _ in range(BASELINE_EVENT_COUNT):
        reader.recv(READ_BYTES)
        writer.send(sent)
    cpu_ns = time.thread_time_ns() - started
    peer.join()
    for end in (source, reader, writer, sink):
        end.close()
    return cpu_ns / BASELINE_EVENT_COUNT / 1_000


def sample_event(address):
    """Return the bytes of one token event as `address` sends them."""
    with connect(address) as connection:
        connection.sendall(http_request(chat_body(0, 20)))
        for _ in range(8):
            data = connection.recv(READ_BYTES)
    return data


def first_token_time(address, index):
    """Return the time to the first token of a new request in ms."""
    started = time.perf_counter()
    with connect(address) as connection:
        connection.sendall(http_request(chat_body(index, 2)))
        data = b""
        while b"data: {" not in data:
            data += connection.recv(READ_BYTES)
        return (time.perf_counter() - started) * 1_000


def measure_first_tokens(rate, duration):
    """Return FirstTokenPercentiles without and with the router.

    Requests alternate between the engine and the router, `rate` per second in total.
    """
    with RelayFleet(1, 5) as fleet:
        addresses = (fleet.engines_by_id["engine-1"].address, fleet.router.address)
        times_by_target = ([], [])
        started = time.monotonic()
        for index in range(int(rate * duration)):
            time.sleep(max(0, started + index / rate - time.monotonic()))
            target = index % 2
            times_by_target[target].append(first_token_time(addresses[target], index))
    return [percentiles(times) for times in times_by_target]


def percentiles(times):
    """Return the 50th, 95th and 99th percentile of `times`."""
    cuts = quantiles(times, n=100)
    return FirstTokenPercentiles(*(round(cuts[index], 2) for index in (49, 94, 98)))


def run(*, duration: float = 8.0, rate: int = 40, streams: list[int] = (5, 400)):
    """Measure all loads and print the results.

    :param duration: seconds of each measurement
    :param rate: tokens per second of each stream
    :param streams: numbers of streams to measure at
    """
    with RelayFleet(1, 20) as fleet:
        received = sample_event(fleet.engines_by_id["engine-1"].address)
        sent = sample_event(fleet.router.address)
    baseline = measure_baseline(received, sent)
    loads = [measure_load(count, rate, duration, baseline) for count in streams]
    direct, routed = measure_first_tokens(45, duration)
    result = Result(round(baseline, 1), loads, direct, routed)
    print(msgspec.json.format(msgspec.json.encode(result)).decode())


if __name__ == "__main__":
    defopt.run(run)
