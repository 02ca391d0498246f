import pytest

from mulberryhub.fleet.records import RequestKind
from mulberryhub.fleet.release_records import ReleaseOrder, ReleaseState, ReleaseStatus
from mulberryhub.fleet.releases import MAX_STATE_AGE_MS
from mulberryhub.forward.release_outcomes import COUNTS_INTERVAL_MS
from mulberryhub.forward.stream_versions import StreamVersion
from mulberryhub.releases.outcomes import Outcomes
from tests.forward.attempt_fixture import BROKEN, FAILED, OK, Fixture
from tests.forward.fakes import make_upstream

OLD, NEW = "v1", "v2"
RUNNING, COMPLETED, ROLLED_BACK = ReleaseStatus
ORDER = ReleaseOrder("llm", NEW, 12_000, 7)
STATE = ReleaseState("llm", NEW, 7, RUNNING, 0.1, 1, 1, release=7)


def make_fixture(
    state, share=0.1, outcomes=(), versions=(OLD, NEW), upstreams=9, **more
):
    """Return a Fixture with an order whose release is in `state`, None if unknown."""
    fixture = Fixture(outcomes, RequestKind.IDEMPOTENT, versions, max_attempts=2)
    fixture.fleet_state.apply(ORDER)
    if state is not None:
        fixture.fleet_state.apply(
            ReleaseState(
                "llm", NEW, 7, state, share, 1, 1, 7, upstreams=upstreams, **more
            )
        )
    return fixture


def run(fixture, draw=0.0):
    """Return the status of a request, and the versions that it was sent to."""
    fixture.draw = draw
    return fixture.run(), fixture.versions_used


@pytest.mark.parametrize(
    "state, share, draw, version",
    [
        (RUNNING, 0.1, 0.05, NEW),
        (RUNNING, 0.1, 0.1, OLD),
        (RUNNING, 0, 0, OLD),
        (None, 0, 0, OLD),
    ],
)
def test_share_goes_to_the_target(state, share, draw, version):
    """The target receives more than its share, or any before the state is known."""
    assert run(make_fixture(state, share), draw) == (200, [version])


@pytest.mark.parametrize(
    "state, excluded, version", [(COMPLETED, OLD, NEW), (ROLLED_BACK, NEW, OLD)]
)
def test_ended_release_excludes_the_other_version(state, excluded, version):
    """A bad version, or a stopped one, receives requests after the release."""
    for draw in (0, 0.99):
        fixture = make_fixture(state, excluded_versions=[excluded])
        assert run(fixture, draw) == (200, [version])


def test_nothing_is_drawn_without_an_order():
    """Services that are not released are served in another way than before."""
    fixture = Fixture([], RequestKind.IDEMPOTENT, (OLD, NEW))
    fixture.fleet_state.releases.apply_order(ReleaseOrder("other", NEW, 12_000, 7))
    assert run(fixture, draw=None)[0] == 200
    assert fixture.job.release_draw is None


def test_stale_share_is_not_applied():
    """A router that lost contact goes on exposing a version that was rolled back."""
    fixture = make_fixture(RUNNING, share=1)
    fixture.clock.advance(MAX_STATE_AGE_MS + 1)
    assert run(fixture) == (200, [OLD])


def test_state_of_a_lower_lease_is_ignored():
    """A decider that lost its lease raises the share again."""
    fixture = make_fixture(RUNNING, share=0)
    late = ReleaseState("llm", NEW, 7, RUNNING, 1, 0, 99, release=7)
    fixture.fleet_state.apply(late)
    assert run(fixture) == (200, [OLD])


@pytest.mark.parametrize("outcome", [FAILED, BROKEN])
def test_retry_goes_to_the_old_version(outcome):
    """A request that failed at the target is sent to the target again."""
    fixture = make_fixture(RUNNING, 1, [outcome], (OLD, NEW, NEW))
    assert run(fixture) == (200, [NEW, OLD])


def test_old_version_replaces_a_target_without_upstreams():
    """The target's part of the requests is refused."""
    fixture = make_fixture(RUNNING, 1, versions=(OLD, OLD))
    assert run(fixture) == (200, [OLD])


def test_target_does_not_replace_the_old_version():
    """A bad target receives all requests while no old upstream is ready."""
    fixture = make_fixture(RUNNING, 0.1, versions=(NEW, NEW))
    assert run(fixture, draw=0.5) == (503, [])


def test_target_serves_before_the_state_is_read_after_a_restart():
    """All requests are refused where a completed release left only the target."""
    assert run(make_fixture(None, versions=(NEW, NEW))) == (200, [NEW])


def test_share_goes_to_the_same_upstreams_everywhere():
    """The share is spread over all upstreams, so that none is observed under load."""
    fixture = make_fixture(RUNNING, 1, versions=(OLD, *[NEW] * 5), upstreams=2)
    accepts = fixture.release_filter.filters_for(fixture.job)[0]
    upstreams = fixture.fleet_state.upstreams_by_id.values()
    accepted = [upstream for upstream in upstreams if accepts(upstream)]
    assert [upstream.software_version for upstream in accepted] == [NEW, NEW]


@pytest.mark.parametrize("share, version", [(0.1, NEW), (0, None)])
def test_stream_goes_on_only_where_it_began(share, version):
    """A stream joins two versions, or goes on at one that gets no more requests."""
    fixture = make_fixture(RUNNING, share)
    fixture.job.stream_version = StreamVersion(NEW)
    (accepts,) = fixture.release_filter.filters_for(fixture.job)
    assert accepts(make_upstream("u", software_version=NEW)) is (version == NEW)


def test_outcomes_are_counted_by_version():
    """The decision compares versions by outcomes of the wrong one, or counts none."""
    fixture = make_fixture(RUNNING, 1, [FAILED, OK])
    assert fixture.release_outcomes.counts() == {}
    status, _ = run(fixture)
    fixture.job.status = status
    fixture.attempt_runner.record_completed(fixture.job, fixture.exchange)
    fixture.clock.advance(COUNTS_INTERVAL_MS)
    counts = fixture.release_outcomes.counts()
    outcomes = Outcomes.from_counts(counts, STATE.service, NEW, STATE.release)
    ((target, old),) = [(outcomes.target(g), outcomes.old(g)) for g in outcomes.groups]
    assert (target.sent, target.retried, target.ended, target.failed) == (1, 0, 1, 1)
    assert (old.sent, old.retried, old.ended, old.served) == (0, 1, 1, 1)
    assert (sum(target.first_bytes), sum(old.first_bytes)) == (0, 1)
