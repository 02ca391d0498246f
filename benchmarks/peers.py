"""Measures calls between peers: latency, CPU time and stalls of the event loop.

Run `python -m benchmarks.peers`; it prints one JSON object.
"""

import subprocess
import sys
import time
from statistics import quantiles

import defopt
import msgspec

from mulberryhub.base.green import GreenPool, sleep, spawn
from mulberryhub.peers.client import PeerClient
from mulberryhub.peers.server import PeerServer

PEER_KEY = "benchmark"
SAMPLE_INTERVAL_MS = 1
CALL_TIMEOUT_MS = 20_000


class Message(msgspec.Struct):
    """The request and response of the echo method."""

    data: bytes


class Usage(msgspec.Struct):
    """CPU time of the server process in ms."""

    processor_time: float


class Result(msgspec.Struct):
    """The result of one run: latencies and stalls in ms, CPU time in ms per call."""

    calls: int
    concurrency: int
    size: int
    calls_per_second: float
    latency_p50: float
    latency_p95: float
    latency_p99: float
    client_processor_time: float
    server_processor_time: float
    longest_hub_stall: float


class StallMonitor:
    """Records the longest delay in ms with which the event loop resumed a thread."""

    def __init__(self):
        self.longest_ms = 0
        self._thread = spawn(self._run)

    def _run(self):
        while True:
            started = time.perf_counter()
            sleep(SAMPLE_INTERVAL_MS / 1000)
            delay = (time.perf_counter() - started) * 1000 - SAMPLE_INTERVAL_MS
            self.longest_ms = max(self.longest_ms, delay)

    def stop(self):
        """Stop recording."""
        self._thread.kill()


def run_server():
    """Print the address of a peer server and serve until the process is killed."""
    server = PeerServer("127.0.0.1:0", PEER_KEY)
    server.register_handler("echo", Message, lambda message: message)
    server.register_handler(
        "usage", Message, lambda _: Usage(time.process_time() * 1000)
    )
    server.start()
    print(server.address, flush=True)
    while True:
        sleep(3600)


def measure(address, calls, concurrency, size):
    """Return the Result of `calls` calls to `address` with `size` bytes of data each.

    Another 200 calls are made before the measurement to warm up both processes.
    """
    client = PeerClient(PEER_KEY)
    message = Message(bytes(size))

    def call(_):
        started = time.perf_counter()
        client.call(address, "echo", message, Message, CALL_TIMEOUT_MS)
        return (time.perf_counter() - started) * 1000

    def server_cpu_ms():
        return client.call(
            address, "usage", message, Usage, CALL_TIMEOUT_MS
        ).processor_time

    list(GreenPool(concurrency).imap(call, range(200)))
    server_cpu_before = server_cpu_ms()
    monitor = StallMonitor()
    cpu_before, started = time.process_time(), time.perf_counter()
    latencies = list(GreenPool(concurrency).imap(call, range(calls)))
    elapsed = time.perf_counter() - started
    client_cpu = (time.process_time() - cpu_before) * 1000
    monitor.stop()
    server_cpu = server_cpu_ms() - server_cpu_before
    cuts = quantiles(latencies, n=100)
    return Result(
        calls=calls,
        concurrency=concurrency,
        size=size,
        calls_per_second=round(calls / elapsed, 1),
        latency_p50=round(cuts[49], 2),
        latency_p95=round(cuts[94], 2),
        latency_p99=round(cuts[98], 2),
        client_processor_time=round(client_cpu / calls, 3),
        server_processor_time=round(server_cpu / calls, 3),
        longest_hub_stall=round(monitor.longest_ms, 1),
    )


def main(*, calls: int = 3000, concurrency: int = 20, size: int = 300):
    """Measure calls between a client and a server process on loopback.

    :param calls: number of calls
    :param concurrency: number of concurrent calls
    :param size: bytes of data in each message
    """
    command = [sys.executable, "-m", "benchmarks.peers", "serve"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        address = server.stdout.readline().strip()
        result = measure(address, calls, concurrency, size)
    finally:
        server.kill()
        server.wait()
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    if sys.argv[1:] == ["serve"]:
        run_server()
    else:
        defopt.run(main)
