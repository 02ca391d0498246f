"""Endless answers of the store must exhaust neither memory nor processor time."""

import time

import pytest

from benchmarks.long_requests import resident_mb
from mulberryhub.adapter.store import StoreClient
from mulberryhub.base.green import sleep, spawn
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.store import StoreUnavailable
from tests.adapter.endless_workers import EndlessWorkers

PATTERNS = (
    "status line",
    "header fields",
    "interim",
    "body to the close",
    "short chunks",
    "long chunks",
    "chunk extension",
    "trailers",
)
CALLS_BY_NAME = {
    "read": lambda store: store.read(Topic.OPERATOR, 0, 0),
    "newest": lambda store: store.newest(Topic.UPSTREAMS),
    "append": lambda store: store.append_records("topic", [b"record"]),
}
MAX_CALL_S = 6  # configurations must be in force within 12 s
MAX_GROWTH_MB = 30  # of the 150 MB of the smallest standard site; three topics are read
MAX_PAUSE_S = 0.5  # processor time between two runs of another green thread
TICK_S = 0.01


class Watch:
    """Samples the resident memory and how long other threads run, each TICK_S."""

    def __init__(self):
        self._first_mb = resident_mb("self")
        self.growth_mb = 0
        self.max_pause = 0
        self._thread = spawn(self._run)

    def _run(self):
        last = time.thread_time()
        while True:
            sleep(TICK_S)
            now = time.thread_time()
            self.max_pause = max(self.max_pause, now - last)
            last = now
            self.growth_mb = max(self.growth_mb, resident_mb("self") - self._first_mb)

    def stop(self):
        sleep(2 * TICK_S)
        self._thread.kill()


@pytest.mark.parametrize("pause", [0, 0.05], ids=["fast", "slow"])
@pytest.mark.parametrize("call", CALLS_BY_NAME)
@pytest.mark.parametrize("pattern", PATTERNS)
def test_endless_answer_of_the_store_is_aborted(pattern, call, pause):
    # Guards against a process that ends for its memory, with the orders that run.
    server = EndlessWorkers(pattern, 1, pause, max_sent_bytes=200_000_000)
    watch = Watch()
    sleep(2 * TICK_S)
    began = time.monotonic()
    try:
        with pytest.raises(StoreUnavailable):
            CALLS_BY_NAME[call](StoreClient(server.addresses[0]))
        duration = time.monotonic() - began
    finally:
        watch.stop()
        server.close()
    assert watch.growth_mb < MAX_GROWTH_MB
    assert duration < MAX_CALL_S
    assert watch.max_pause < MAX_PAUSE_S
