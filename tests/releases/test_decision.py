from types import SimpleNamespace

import pytest

from mulberryhub.releases.decision import Progress, ReleaseBounds, State, decide
from mulberryhub.releases.outcomes import OutcomeRecorder, Outcomes
from tests.releases.simulated_release import SimulatedRelease

SEEDS = range(20)
SIZES = [(70, 30_000, 30), (300, 16_000, 3), (500, 8_000, 30)]
IN_TIME_MS = 800  # before the deadline, for the write of the status


def good(request):
    return 0, 1


def bad(request, rate=0.5, factor=1):
    return (rate, factor) if request.version == "v2" else (0, 1)


def slow(request):
    return bad(request, 0.9, 4)


def bad_late(request):
    return bad(request) if request.part > 0.5 else (0, 1)


def bad_under_load(request):
    return bad(request, 0.7) if request.load >= 1 else (0, 1)


def bad_on_one_route(request):
    return bad(request, 0.7) if request.route == "search" else (0, 1)


def both_bad_late(request):
    return (0.4, 1) if request.part > 0.3 else (0, 1)


def both_slow_late(request):
    return (0.4, 4) if request.part > 0.3 else (0, 1)


def run_all(fault, size, **options):
    runs = [SimulatedRelease(seed, fault, *size, **options).run() for seed in SEEDS]
    assert max(run.overrun for run in runs) <= 0
    deadline = size[1] - IN_TIME_MS + 50
    assert max(run.ended_at for run in runs) <= deadline
    return runs


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("fault", [good, both_bad_late, both_slow_late])
def test_version_that_is_as_good_as_the_old_one_is_completed(fault, size):
    """Guards against noise, and faults of both versions, counting as evidence."""
    runs = run_all(fault, size)
    assert [run.reason for run in runs if run.state != State.COMPLETED] == []


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize(
    "fault", [bad, slow, bad_late, bad_under_load, bad_on_one_route]
)
def test_bad_version_is_rolled_back_within_the_bounds(fault, size):
    """Guards against bad versions that are completed, or served for too long."""
    runs = run_all(fault, size)
    assert [run.reason for run in runs if run.state != State.ROLLED_BACK] == []
    assert max(run.late for run in runs) == 0


@pytest.mark.parametrize("size", SIZES)
def test_upstreams_that_crash_are_no_evidence(size):
    """Guards against a rollback for crashes that the version has not caused."""
    crashes = {("v2", 0): 2_000, ("v2", 1): 4_500, ("v1", 1): 3_000}
    runs = run_all(good, size, crashes=crashes)
    assert [run.reason for run in runs if run.state != State.COMPLETED] == []


@pytest.mark.parametrize("size", SIZES)
def test_unlike_machines_are_no_evidence(size):
    """Guards against a rollback because the observed upstreams are slower ones."""
    runs = run_all(good, size, speeds=(0.6, 1, 1.6), spread=0.7)
    assert [run.reason for run in runs if run.state != State.COMPLETED] == []


@pytest.mark.parametrize("fault", [both_bad_late, both_slow_late])
def test_long_streams_are_no_evidence(fault):
    """Guards against errors, which come before streams end, looking too many."""
    runs = run_all(fault, (200, 12_000, 3), stream=12)
    assert [run.reason for run in runs if run.state != State.COMPLETED] == []


def test_exposure_holds_with_late_reports():
    """Guards against trials that go on because their requests are not yet known."""
    for size in [(70, 8_000, 3), (200, 12_000, 3), *SIZES]:
        run_all(good, size, lag=1_200)


def test_version_with_few_requests_is_completed_just_before_the_deadline():
    """Guards against completing early on little evidence, or never."""
    for run in run_all(good, (3, 10_000, 3)):
        assert run.state == State.COMPLETED
        assert run.ended_at >= 10_000 - IN_TIME_MS


def test_target_without_upstreams_is_rolled_back_at_the_end():
    """Guards against stopping the old upstreams when there are no others."""
    for run in run_all(good, (100, 10_000, 3), ready=0):
        assert (run.state, run.exposed) == (State.ROLLED_BACK, 0)


@pytest.mark.parametrize("have_routers_ended", [False, True])
def test_decider_that_takes_over_keeps_the_exposure(have_routers_ended):
    """Guards against spending the slack twice, and counting what is saved twice."""
    order = SimpleNamespace(target="v2", duration=10_000)
    progress = Progress(exposed=230, received=2_000)
    progress.target_upstreams = progress.old_upstreams = 3
    recorder = OutcomeRecorder()
    recorder.reset("llm")
    for age in range(4_000, 7_000, 250):
        for number in range(0 if have_routers_ended and age < 5_250 else 25):
            recorder.record_sent("llm", "chat", "v1" if number else "v2")
        if age == 4_500 and not have_routers_ended:  # the others are heard
            for number in range(1_950):
                recorder.record_sent("llm", "chat", "v2" if number < 228 else "v1")
        outcomes = Outcomes.from_counts(recorder.counts(), "llm", "v2")
        decision = decide(order, age, ReleaseBounds(), outcomes, progress)
        assert decision.share <= 0.1
    assert 230 <= progress.exposed <= 250
    assert 2_000 <= progress.received <= 2_300


def test_decider_that_takes_over_at_the_end_hears_all_routers_first():
    """Guards against completing because no outcomes have been heard yet."""
    progress = Progress()
    progress.target_upstreams = progress.old_upstreams = 3
    order = SimpleNamespace(target="v2", duration=10_000)
    states = [
        decide(order, age, ReleaseBounds(), Outcomes(), progress).state
        for age in (9_900, 10_400, 10_900)
    ]
    assert states == [State.RUNNING, State.RUNNING, State.COMPLETED]
