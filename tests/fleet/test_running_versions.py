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
        ([make_incarnation(5), make_rollout(6)], 1),
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


@pytest.mark.parametrize(
    "later_started", [1, 900], ids=["behind at the restart", "ahead at the restart"]
)
def test_wrong_wall_clock_of_a_restarted_upstream_does_not_hide_its_versions(
    later_started,
):
    first = make_incarnation(500, offset=1, version=3)
    restarted = make_incarnation(later_started, offset=2, version=2)
    late_report = make_rollout(500, version=9)
    for order in permutations([first, restarted, late_report]):
        assert version_after(order) == 2
    loaded = make_rollout(later_started, version=4)
    for order in permutations([first, restarted, loaded]):
        assert version_after(order) == 4


def test_answer_of_an_upstream_that_restarted_with_its_clock_behind_counts():
    fleet_state = FleetState(ManualClock(now=1_000))
    fleet_state.apply(make_incarnation(500, offset=1, version=3))
    fleet_state.apply(make_incarnation(1, offset=2, version=2))
    fleet_state.record_version("u1", MODEL, 4)
    assert fleet_state.version_at("u1", MODEL) == 4


def test_rollout_of_an_earlier_build_counts_if_no_start_is_known():
    rollout = Rollout(1, 1, [], {"u1": {MODEL: 4}})
    assert version_after([make_incarnation(0), rollout]) == 4
    assert version_after([make_incarnation(5), rollout]) == 1


@pytest.mark.parametrize("current, earlier", [(6, 5), (5, 6)])
def test_report_of_another_incarnation_is_ignored(current, earlier):
    for reports in permutations([(current, 1), (earlier, 9)]):
        versions = RunningVersions()
        for started, version in reports:
            versions.update("u1", started, {MODEL: version})
        assert versions.at("u1", current, MODEL) == 1


def test_number_of_upstreams_is_bounded(monkeypatch):
    monkeypatch.setattr(running_versions, "MAX_INCARNATION_COUNT", 2)
    versions = RunningVersions()
    for id in ("u1", "u2", "u1", "u3"):
        versions.update(id, 5, {MODEL: 1})
    assert [versions.at(id, 5, MODEL) for id in ("u1", "u2", "u3")] == [1, 0, 1]
