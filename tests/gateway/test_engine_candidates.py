from types import SimpleNamespace

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.gateway.engine_candidates import LEASE_TIMEOUT_MS, EngineCandidates

IDS = ["a", "b"]


class Runs:
    """Lets the request run on the engines in `permitted_ids`."""

    def __init__(self, permitted_ids, is_quarantined=False):
        self.permitted_ids = permitted_ids
        self._is_quarantined = is_quarantined

    def is_quarantined(self):
        return self._is_quarantined

    def acquire_permission(self, engine_id, token_count):
        return engine_id in self.permitted_ids


def make_candidates(runs, listed_ids=IDS, may_retry=True):
    clock, counters = ManualClock(), Counters()
    upstreams_by_id = {id_: SimpleNamespace(id=id_) for id_ in listed_ids}
    dependencies = SimpleNamespace(
        clock=clock,
        counters=counters,
        confirmed_view=lambda: SimpleNamespace(upstreams_by_id=upstreams_by_id),
        health=SimpleNamespace(avoided_last=list),
        retry_budget=SimpleNamespace(try_spend=lambda: may_retry),
        suspects=SimpleNamespace(
            wait_for_retry=lambda: clock.advance(LEASE_TIMEOUT_MS // 2)
        ),
    )
    return EngineCandidates(dependencies, runs, lambda: ExecutionState.UNKNOWN)


def permitted_ids(candidates):
    return [upstream.id for upstream in candidates.permitted(IDS, 0)]


def test_engines_that_have_left_the_inventory_are_not_tried():
    assert permitted_ids(make_candidates(Runs(IDS), ["b"])) == ["b"]


def test_suspect_does_not_wait_for_a_lease_for_ever():
    assert permitted_ids(make_candidates(Runs(["a"]))) == ["a"]


def test_quarantined_request_tells_whether_it_may_have_run():
    candidates = make_candidates(Runs(IDS, is_quarantined=True))
    with pytest.raises(ApiError) as raised:
        permitted_ids(candidates)
    assert raised.value.code is ErrorCode.QUARANTINED
    assert raised.value.execution_state is ExecutionState.UNKNOWN


def test_no_retry_beyond_the_budget():
    assert make_candidates(Runs(IDS)).wait_for_retry()
    assert not make_candidates(Runs(IDS), may_retry=False).wait_for_retry()
