"""Measures calls between two routers: latency, processor time and hub stalls.

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
TICK = 1  # ms
TIMEOUT = 20_000  # ms


class Message(msgspec.Struct):
    """A message of a given size."""

    data: bytes


class Usage(msgspec.Struct):
    """Processor time of the serving process in ms."""

    processor_time: float


class Result(msgspec.Struct):
    """Figures of one run; latencies in ms, processor time in ms per call."""

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


class StallWatch:
    """Records the longest time in ms that the hub left a due thread waiting."""

    def __init__(self):
        self.longest = 0
        self._thread = spawn(self._run)

    def _run(self):
        while True:
            started = time.perf_counter()
            sleep(TICK / 1000)
            late = (time.perf_counter() - started) * 1000 - TICK
            self.longest = max(self.longest, late)

    def stop(self):
        """Stop watching."""
        self._thread.kill()


def run_server():
    """Serve until the process is ended."""
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
    """Return the figures of `calls` calls of `size` bytes."""
    client = PeerClient(PEER_KEY)
    message = Message(bytes(size))

    def call(_):
        started = time.perf_counter()
        client.call(address, "echo", message, Message, TIMEOUT)
        return (time.perf_counter() - started) * 1000

    def server_usage():
        return client.call(address, "usage", message, Usage, TIMEOUT).processor_time

    list(GreenPool(concurrency).imap(call, range(200)))
    served_before = server_usage()
    watch = StallWatch()
    used_before, started = time.process_time(), time.perf_counter()
    latencies = list(GreenPool(concurrency).imap(call, range(calls)))
    elapsed = time.perf_counter() - started
    used = (time.process_time() - used_before) * 1000
    watch.stop()
    served = server_usage() - served_before
    cuts = quantiles(latencies, n=100)
    return Result(
        calls=calls,
        concurrency=concurrency,
        size=size,
        calls_per_second=round(calls / elapsed, 1),
        latency_p50=round(cuts[49], 2),
        latency_p95=round(cuts[94], 2),
        latency_p99=round(cuts[98], 2),
        client_processor_time=round(used / calls, 3),
        server_processor_time=round(served / calls, 3),
        longest_hub_stall=round(watch.longest, 1),
    )


def main(*, calls: int = 3000, concurrency: int = 20, size: int = 300):
    """Measure calls between a client and a server process on loopback.

    :param calls: number of calls
    :param concurrency: calls in progress at once
    :param size: bytes of each message
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
