"""Many responses that arrive faster than they are read, beside other green threads.

Processor time is measured, which processes beside the test do not change.
"""

from time import monotonic, thread_time

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep, spawn
from mulberryhub.http.messages import Headers, HttpError, Request
from mulberryhub.http.outbound import OutboundConnection
from tests.adapter.endless_workers import EndlessWorkers

WORKERS = 6
CONNECTIONS = 60
READ_MS = 2_000
HUB_CYCLES = 8  # in which a request waits for the hub
MAX_PAUSE_S = 0.5 / HUB_CYCLES
REQUEST = Request(b"GET", b"/", Headers.from_pairs([(b"Host", b"x")]))


def read_without_end(address, began, reads):
    try:
        connection = OutboundConnection.open(address, READ_MS, Clock())
        connection.send(REQUEST, READ_MS)
        connection.read_head(READ_MS)
        while monotonic() - began < READ_MS / 1000:
            reads.append(len(connection.read_data(READ_MS)))
    except HttpError:
        return  # The response was given up.


@pytest.mark.parametrize("pattern", ["interim", "short chunks", "long chunks"])
def test_other_green_threads_run_beside_many_endless_responses(pattern):
    # Guards against requests that wait while endless bytes are processed.
    workers = EndlessWorkers(pattern, WORKERS)
    began, reads = monotonic(), []
    for number in range(CONNECTIONS):
        address = workers.addresses[number % WORKERS]
        spawn(read_without_end, address, began, reads)
    sleep(0.1)
    pauses = []
    while monotonic() - began < READ_MS / 1000:
        before = thread_time()
        sleep(0)
        pauses.append(thread_time() - before)
    workers.close()
    assert sorted(pauses)[int(len(pauses) * 0.95)] < MAX_PAUSE_S
    assert reads or pattern == "interim"
