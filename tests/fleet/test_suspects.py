from functools import reduce

import msgspec
import pytest
from hypothesis import example, given, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.blame import SETTLE_MS
from mulberryhub.fleet.records import (
    QUARANTINE_RUN_COUNT,
    CrashedRun,
    SavedSuspects,
    Suspect,
    Verdict,
)
from mulberryhub.fleet.state import FleetState
from mulberryhub.fleet.suspects import (
    MAX_CRASHED_RUN_COUNT,
    MAX_SUSPECT_COUNT,
    QUARANTINE_MS,
    RELAPSE_FACTOR,
    SUSPECT_RETENTION_MS,
    Suspects,
    merge,
)

RUNS = st.builds(
    CrashedRun,
    st.sampled_from("abcdefghijkl"),
    st.integers(0, 1),
    st.booleans(),
    st.sampled_from(["", "r1", "r2"]),
)
CRASHED_RUNS = st.lists(
    RUNS,
    max_size=MAX_CRASHED_RUN_COUNT,
    unique_by=lambda run: (run.upstream, run.started),
)
SUSPECTS = st.builds(
    Suspect,
    st.just("f"),
    st.integers(0, 2),
    CRASHED_RUNS,
    st.integers(0, 2),
    st.integers(0, 2),
)


def crashed_runs(*upstreams, is_repeat=False):
    return [CrashedRun(upstream, 1, is_repeat) for upstream in upstreams]


def apply_all(suspects):
    table = Suspects(ManualClock())
    for suspect in suspects:
        table.apply(suspect)
    return table.get("f")


def in_another_order(reports):
    return st.tuples(st.just(reports), st.permutations(reports * 2))


UNSORTED_RUNS = [
    CrashedRun("a", 0, True, "r2"),
    CrashedRun("b", 0, False, "r2"),
    CrashedRun("c", 0, False),
    CrashedRun("a", 1, False, "r1"),
]
SORTED_RUNS = [UNSORTED_RUNS[index] for index in (0, 3, 1, 2)]
EQUAL_RUNS = [
    Suspect("f"),
    Suspect("f", 2, [], 2, 1),
    Suspect("f", 2, SORTED_RUNS),
    Suspect("f", 2, UNSORTED_RUNS, 2, 1),
]


@given(st.lists(SUSPECTS, max_size=6).flatmap(in_another_order))
@example((EQUAL_RUNS, EQUAL_RUNS[::-1] * 2))
@example((EQUAL_RUNS, EQUAL_RUNS[3:] + EQUAL_RUNS[:3] + EQUAL_RUNS))
@example((EQUAL_RUNS[2:], EQUAL_RUNS[:1:-1] * 2))
def test_reports_merge_in_any_order(orders):
    reports, reordered = orders
    assert apply_all(reordered) == apply_all(reports)


def test_report_with_two_runs_at_one_upstream_merges_in_any_order():
    reports = [
        Suspect("f", 0, [CrashedRun("a", 1, False, "r2")]),
        Suspect("f", 0, [CrashedRun("a", 1, False, r) for r in ("r2", "r1")]),
    ]
    for order in (reports, reports[::-1]):
        assert apply_all(order).crashed_runs == [CrashedRun("a", 1, False, "r1")]


def test_report_with_too_many_runs_merges_in_any_order():
    many = [CrashedRun(f"u{n:02}", 1, False) for n in range(MAX_CRASHED_RUN_COUNT + 4)]
    reports = [Suspect("f", 1, many[::-1]), Suspect("f", 1, many[:1])]
    for order in (reports[:1], reports, reports[::-1]):
        assert apply_all(order).crashed_runs == many[:MAX_CRASHED_RUN_COUNT]


@given(st.lists(SUSPECTS, min_size=1, max_size=6))
def test_merging_known_reports_changes_nothing(reports):
    merged = reduce(merge, reports, Suspect("f"))
    assert len(merged.crashed_runs) <= MAX_CRASHED_RUN_COUNT
    for suspect in reports:
        assert merge(merged, suspect) is merged


def test_three_ended_upstreams_quarantine_if_one_run_was_repeat():
    clock = ManualClock()
    table = Suspects(clock)
    table.apply(Suspect("f", 0, crashed_runs("a", "b")))
    table.apply(Suspect("f", 0, crashed_runs("b", is_repeat=True)))
    clock.advance(SETTLE_MS)
    assert not table.is_quarantined("f")
    table.apply(Suspect("f", 0, crashed_runs("c")))
    assert table.is_inconclusive("f")
    clock.advance(SETTLE_MS)
    assert table.is_quarantined("f")
    assert not table.is_inconclusive("f")


def test_upstreams_that_ended_together_do_not_quarantine():
    clock = ManualClock()
    table = Suspects(clock)
    table.apply(Suspect("f", 0, crashed_runs("a", "b", "c", "d", "e")))
    clock.advance(SETTLE_MS)
    assert table.is_inconclusive("f")
    assert not table.is_quarantined("f")


def test_repeated_reports_of_one_upstream_count_once():
    clock = ManualClock()
    table = Suspects(clock)
    for _ in range(2 * QUARANTINE_RUN_COUNT):
        table.apply(Suspect("f", 0, crashed_runs("a", is_repeat=True)))
    clock.advance(SETTLE_MS)
    assert not table.is_quarantined("f")


def test_completed_run_invalidates_earlier_and_late_reports():
    table = Suspects(ManualClock())
    table.apply(Suspect("f", 0, crashed_runs("a", "b", "c", is_repeat=True)))
    table.apply(Suspect("f", 1))
    table.apply(Suspect("f", 0, crashed_runs("d", is_repeat=True)))
    assert table.get("f").crashed_runs == []


def test_suspects_expire():
    clock = ManualClock()
    table = Suspects(clock)
    table.apply(Suspect("f", 0, crashed_runs("a", "b", is_repeat=True)))
    clock.advance(SUSPECT_RETENTION_MS - 1)
    assert table.get("f").crashed_runs
    clock.advance(1)
    assert not table.get("f").crashed_runs


def test_quarantine_ends_and_begins_again_with_the_next_crash():
    clock = ManualClock()
    table = Suspects(clock)
    table.apply(Suspect("f", 0, crashed_runs("a", "b", "c", is_repeat=True)))
    clock.advance(QUARANTINE_MS - 1)
    assert table.is_quarantined("f")
    clock.advance(1)
    assert not table.is_quarantined("f")
    assert table.is_relapse("f")
    table.apply(Suspect("f", 0, crashed_runs("d"), relapses=1))
    assert table.is_quarantined("f")
    clock.advance(RELAPSE_FACTOR * QUARANTINE_MS - 1)
    assert table.is_quarantined("f")
    clock.advance(1)
    assert not table.is_quarantined("f")


def test_quarantined_suspects_outlast_others():
    table = Suspects(ManualClock())
    table.apply(Suspect("f", 0, crashed_runs("a", "b", "c", "d", "e", is_repeat=True)))
    assert table.is_quarantined("f")
    for number in range(2 * MAX_SUSPECT_COUNT):
        table.apply(Suspect(f"f{number}", 0, crashed_runs("a")))
        table.drop_expired()
    assert table.is_quarantined("f")
    assert len(table) == MAX_SUSPECT_COUNT + 1


def test_number_of_suspects_and_observations_is_bounded():
    fleet_state = FleetState(ManualClock())
    for number in range(MAX_SUSPECT_COUNT + 50):
        fleet_state.apply(Suspect(f"f{number}", 0, crashed_runs("a")))
    reports = fleet_state.observations_since(0)
    assert len(fleet_state.suspects) == len(reports) == MAX_SUSPECT_COUNT
    assert reports[-1].fingerprint == f"f{MAX_SUSPECT_COUNT + 49}"


def test_observations_exclude_those_of_their_sender():
    fleet_state = FleetState(ManualClock())
    fleet_state.apply(Suspect("f", 0, crashed_runs("a")), "n2")
    assert fleet_state.observations_since(0, exclude_sender="n2") == []
    assert len(fleet_state.observations_since(0, exclude_sender="n3")) == 1
    fleet_state.apply(Suspect("f", 0, crashed_runs("b")))
    assert (
        len(fleet_state.observations_since(0, exclude_sender="n2")[0].crashed_runs) == 2
    )


def test_stored_verdict_expires():
    clock = ManualClock()
    verdict = Verdict(
        Suspect("f", 0, crashed_runs("a", "b", "c", is_repeat=True)), clock.wall()
    )
    clock.advance(QUARANTINE_MS - 1)
    fleet_state = FleetState(clock)
    fleet_state.apply(verdict)
    assert fleet_state.suspects.is_quarantined("f")
    assert len(fleet_state.observations_since(0)) == 1
    clock.advance(1)
    late_fleet_state = FleetState(clock)
    late_fleet_state.apply(verdict)
    assert not late_fleet_state.suspects.is_quarantined("f")


# The clock of the router that saves a verdict, less that of the one that reads it.
def test_stored_verdict_stands_if_its_evidence_is_known_already():
    # Guards against a verdict that is dropped as the saved suspects were read first.
    clock = ManualClock()
    table = Suspects(clock)
    blamed = Suspect("aa", 0, crashed_runs("u1", "u2", "u3"))
    table.apply_saved(SavedSuspects("n1", clock.wall(), [blamed]))
    assert not table.is_quarantined("aa")
    table.apply_verdict(Verdict(blamed, clock.wall()))
    assert table.is_quarantined("aa")


def test_stored_verdict_that_was_overruled_does_not_stand_when_it_is_read_again():
    # Guards against a new listing of the store that brings back a former verdict.
    clock = ManualClock()
    table = Suspects(clock)
    blamed = Suspect("aa", 0, crashed_runs("u1", "u2", "u3"), breadth=1)
    table.apply_verdict(Verdict(blamed, clock.wall()))
    runs = crashed_runs("u1", "u2", "u3", "u4", "u5", "u6", is_repeat=True)
    table.apply(Suspect("bb", 0, runs))
    clock.advance(1_000)
    is_blamed = table.is_quarantined("aa")
    table.apply_verdict(Verdict(blamed, clock.wall()))
    assert table.is_quarantined("aa") == is_blamed


@pytest.mark.parametrize("difference", [-5_000, 5_000], ids=["behind", "ahead"])
def test_stored_verdict_counts_though_wall_clocks_differ_by_seconds(difference):
    reader = ManualClock(now=1_000)
    saved_at = reader.wall() + difference
    verdict = Verdict(
        Suspect("f", 0, crashed_runs("a", "b", "c", is_repeat=True)), saved_at
    )
    fleet_state = FleetState(reader)
    fleet_state.apply(verdict)
    assert fleet_state.suspects.is_quarantined("f")
    reader.advance(QUARANTINE_MS - 1)
    assert fleet_state.suspects.is_quarantined("f")
    reader.advance(1)
    assert not fleet_state.suspects.is_quarantined("f")


class EarlierCrashedRun(msgspec.Struct, frozen=True, array_like=True):
    upstream: str
    started: int
    is_repeat: bool


class EarlierSuspect(msgspec.Struct, frozen=True, tag="Suspect"):
    fingerprint: str
    round: int = 0
    crashed_runs: list[EarlierCrashedRun] = msgspec.field(default=[], name="ended")


def test_suspects_are_read_by_earlier_builds_and_from_them():
    runs = [CrashedRun("a", 1, True, "r")]
    data = msgspec.json.encode(Suspect("f", 2, runs, breadth=1, relapses=1))
    earlier = msgspec.json.decode(data, type=EarlierSuspect)
    assert earlier == EarlierSuspect("f", 2, [EarlierCrashedRun("a", 1, True)])
    read = msgspec.json.decode(msgspec.json.encode(earlier), type=Suspect)
    assert read == Suspect("f", 2, [CrashedRun("a", 1, True)])
