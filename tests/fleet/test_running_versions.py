"""Versions told of an incarnation count for it alone, in whatever order they come."""

from itertools import permutations

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet import running_versions
from mulberryhub.fleet.records import Removal, Upstream, UpstreamState
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.running_versions import RunningVersions
from mulberryhub.fleet.state import FleetState

MODEL = "m1"


def make_incarnation(started, offset=None, version=1):
    offset = started if offset is None else offset
    versions = {MODEL: version}
    return Upstream(
        "u1", "s", "a:1", "d1", UpstreamState.READY, offset, started, 0, versions
    )


def make_rollout(started, version=4):
    return Rollout(1, 1, [], {"u1": {MODEL: version}}, {"u1": started})


def version_after(records):
    fleet_state = FleetState(ManualClock(now=1_000))
    for record in records:
        if isinstance(record, Rollout):
            fleet_state.apply_rollout(record)
        else:
            fleet_state.apply(record)
    return fleet_state.version_at("u1", MODEL)


@pytest.mark.parametrize(
    "records, version",
    [
        ([make_incarnation(5), make_rollout(5)], 4),
        ([make_incarnation(6), make_rollout(5)], 1),
        ([make_incarnation(5), make_rollout(6)], 0),
        ([make_incarnation(5), make_incarnation(6), make_rollout(5)], 1),
        ([make_incarnation(5), make_incarnation(6), make_rollout(6)], 4),
        ([make_incarnation(5), Removal("u1", 6), make_rollout(5)], 0),
        (
            [
                make_incarnation(5),
                Removal("u1", 6),
                make_incarnation(5, offset=7),
                make_rollout(5),
            ],
            4,
        ),
    ],
)
def test_rollout_counts_for_the_incarnation_that_loaded(records, version):
    for order in permutations(records):
        assert version_after(order) == version


def test_rollout_of_an_earlier_build_counts_if_no_start_is_known():
    rollout = Rollout(1, 1, [], {"u1": {MODEL: 4}})
    assert version_after([make_incarnation(0), rollout]) == 4
    assert version_after([make_incarnation(5), rollout]) == 1


def test_late_report_of_an_earlier_incarnation_is_ignored():
    versions = RunningVersions()
    versions.update("u1", 6, {MODEL: 1})
    versions.update("u1", 5, {MODEL: 9})
    assert versions.at("u1", 6, MODEL) == 1
    assert versions.at("u1", 5, MODEL) == 0


def test_number_of_upstreams_is_bounded(monkeypatch):
    monkeypatch.setattr(running_versions, "MAX_UPSTREAM_COUNT", 2)
    versions = RunningVersions()
    for id in ("u1", "u2", "u1", "u3"):
        versions.update(id, 5, {MODEL: 1})
    assert [versions.at(id, 5, MODEL) for id in ("u1", "u2", "u3")] == [1, 0, 1]
