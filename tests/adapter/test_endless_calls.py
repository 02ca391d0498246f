"""Endless answers to calls that serve no request: reports, orders and the KV cache."""

import time

import msgspec
import pytest

from mulberryhub.adapter.cache_store import (
    LONG_POLL_MS,
    RESPONSE_TIMEOUT_MS,
    CacheStoreClient,
)
from mulberryhub.adapter.engines import (
    ORDER_TIMEOUT_MS,
    REPORT_TIMEOUT_MS,
    EngineClient,
)
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep
from mulberryhub.fleet.cache_watcher import CacheStoreUnavailable
from mulberryhub.http.client import HttpClient
from mulberryhub.weights.messages import LoadOrder, OrderResult
from tests.adapter.endless_workers import EndlessWorkers
from tests.adapter.test_endless_store import PATTERNS, TICK_S, Watch
from tests.fleet.test_state import make_upstream

CACHE_TIMEOUT_MS = LONG_POLL_MS + RESPONSE_TIMEOUT_MS
TOLERANCE_MS = 500
MAX_GROWTH_MB = 30  # of the 150 MB of the smallest standard site
MAX_PAUSE_S = 0.5  # processor time between two runs of another green thread


def upstream_at(address):
    return msgspec.structs.replace(make_upstream("u1", 1), address=address)


def read_report(address):
    client = EngineClient(HttpClient(Clock()))
    assert client.read_report(upstream_at(address)) is None


def send_order(address):
    client = EngineClient(HttpClient(Clock()))
    order = LoadOrder("m1", 2, "r1", 1, 0, cuts_running_requests=False)
    result = client.send_order(upstream_at(address), order)
    assert result is OrderResult.UNKNOWN


def read_events(address):
    with pytest.raises(CacheStoreUnavailable):
        CacheStoreClient(HttpClient(Clock())).read_events(address, 1)


def read_all(address):
    with pytest.raises(CacheStoreUnavailable):
        CacheStoreClient(HttpClient(Clock())).read_all(address)


@pytest.mark.parametrize("pause", [0, 0.05], ids=["fast", "slow"])
@pytest.mark.parametrize(
    "call, timeout_ms",
    [
        (read_report, REPORT_TIMEOUT_MS),
        (send_order, ORDER_TIMEOUT_MS),
        (read_events, CACHE_TIMEOUT_MS),
        (read_all, CACHE_TIMEOUT_MS),
    ],
)
@pytest.mark.parametrize("pattern", PATTERNS)
def test_endless_answer_to_a_call_of_the_router_is_aborted(
    pattern, call, timeout_ms, pause
):
    # Guards against memory and time that answers to the router's own calls take.
    workers = EndlessWorkers(pattern, 1, pause, max_sent_bytes=200_000_000)
    watch = Watch()
    sleep(2 * TICK_S)
    began = time.monotonic()
    try:
        call(workers.addresses[0])
        duration_ms = (time.monotonic() - began) * 1_000
    finally:
        watch.stop()
        workers.close()
    assert watch.growth_mb < MAX_GROWTH_MB
    assert duration_ms < timeout_ms + TOLERANCE_MS
    assert watch.max_pause < MAX_PAUSE_S
