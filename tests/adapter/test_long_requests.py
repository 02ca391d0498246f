"""Long requests that come at once, beside orders that upstreams run for others."""

import pytest

from benchmarks.long_requests import MEMORY_LIMIT_MB, run_load, start_fleet

LONG_CLIENTS = 48
SHORT_DEADLINE_MS = 1_000


@pytest.fixture
def router(tmp_path):
    fleet, router = start_fleet(tmp_path)
    try:
        yield router
    finally:
        fleet.close()


@pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])
def test_orders_are_answered_while_long_requests_arrive(router, is_slow):
    # Guards against a process that ends for its memory, with the orders that run.
    outcome = run_load(router, LONG_CLIENTS, is_slow)
    assert outcome.lost == 0
    assert outcome.peak_mb < MEMORY_LIMIT_MB
    assert router.popen.poll() is None
    assert set(outcome.short_answers) == {200}
    assert outcome.worst_ms < SHORT_DEADLINE_MS


def test_each_long_request_is_answered_or_refused_with_a_time_to_retry(router):
    # Guards against requests that are neither run nor refused, and false refusals.
    outcome = run_load(router, LONG_CLIENTS, False)
    assert set(outcome.long_answers) <= {(200, None), (503, b"1")}
    assert outcome.long_answers[200, None] >= 1
    assert sum(outcome.long_answers.values()) == LONG_CLIENTS
    assert router.ask("/long/x", id="later", body=bytes(1_000_000)).status == 200
