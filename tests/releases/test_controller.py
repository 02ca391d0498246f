import pytest

from mulberryhub.fleet.release_records import ReleaseOrder
from tests.releases.release_fleet import DURATION_MS, NEW, OLD, SERVICE, ReleaseFleet

BAD = 0.5
UNSTABLE_MS = 6_000  # by which a failing store may stretch the bounds


@pytest.fixture(params=range(3))
def fleet(request):
    return ReleaseFleet(seed=request.param)


def test_nothing_is_read_or_written_without_an_order(fleet):
    """Routers call the store, or publish states, while there is nothing to do."""
    fleet.run(5_000)
    assert fleet.store.calls == 0 and not fleet.store.log.payloads
    assert {fleet.state_at(router) for router in fleet.routers} == {None}


def test_order_for_an_unknown_service_does_nothing(fleet):
    """An order for a service without a configuration stops a router."""
    order = ReleaseOrder("other", NEW, DURATION_MS, 1)
    for router in fleet.routers:
        router.state.apply(order)
    fleet.run(3_000)
    assert fleet.store.calls == 0
    fleet.order()
    fleet.run_until("completed")


def test_good_version_is_completed(fleet):
    """A good version is rolled back, late, or its status is written twice."""
    fleet.order()
    assert fleet.run_until("completed") <= DURATION_MS
    calls = fleet.store.calls
    fleet.run(5_000)
    assert fleet.store.statuses == ["running", "completed"]
    assert fleet.store.calls == calls
    assert fleet.routers[0].state.releases.version_rule(SERVICE).excluded == {OLD}


def test_bad_version_is_rolled_back(fleet):
    """A bad version receives more requests than the bounds permit."""
    fleet.bad_share = BAD
    fleet.order()
    fleet.run_until("rolled_back")
    fleet.run(5_000)
    fleet.assert_bounds_kept()
    assert fleet.store.statuses == ["running", "rolled_back"]
    assert fleet.routers[0].state.releases.version_rule(SERVICE).excluded == {NEW}


@pytest.mark.parametrize("bad_share, end", [(0, "completed"), (BAD, "rolled_back")])
@pytest.mark.parametrize("killed_after", [2_500, 6_000])
def test_next_decider_goes_on(fleet, bad_share, end, killed_after):
    """A release starts again, or stops, when its decider fails between two steps."""
    fleet.order()
    fleet.run(killed_after)
    killed = fleet.decider()
    killed.is_up = False
    fleet.bad_share = bad_share
    assert fleet.run_until(end) <= DURATION_MS
    fleet.run(3_000)
    fleet.assert_bounds_kept()
    assert fleet.decider() is not killed
    assert fleet.store.statuses == ["running", end]


@pytest.mark.parametrize("bad_share, end", [(0, "completed"), (BAD, "rolled_back")])
def test_release_goes_on_after_all_routers_were_killed(fleet, bad_share, end):
    """The order counts as new after a restart, or its time is counted from there."""
    fleet.order()
    fleet.run(5_000)
    fleet.restart_all()
    fleet.tell_order()
    fleet.bad_share = bad_share
    assert fleet.run_until(end) <= DURATION_MS
    fleet.assert_bounds_kept()
    fleet.restart_all()
    fleet.tell_order()
    fleet.run_until(end)
    assert fleet.store.statuses == ["running", end]


@pytest.mark.parametrize("bad_share, end", [(0, "completed"), (BAD, "rolled_back")])
def test_store_outage_exposes_nothing(fleet, bad_share, end):
    """Routers expose a version while no decider can hold the lease."""
    fleet.order()
    fleet.run(4_000)
    fleet.store.log.is_unavailable = True
    fleet.bad_share = bad_share
    fleet.run(1_500 + 1_500)  # until the lease and the last state have expired
    exposed = len(fleet.target_times)
    fleet.run(6_000)
    assert len(fleet.target_times) == exposed
    fleet.store.log.is_unavailable = False
    assert fleet.run_until(end) <= DURATION_MS + UNSTABLE_MS
    fleet.assert_bounds_kept(UNSTABLE_MS)


def test_write_without_an_answer_is_not_repeated(fleet):
    """A status is written twice because the first answer was lost."""
    fleet.order()
    fleet.run(3_000)
    fleet.store.is_lost = True
    fleet.run_until("completed")
    assert fleet.store.statuses == ["running", "completed"]


@pytest.mark.parametrize("bad_share, end", [(0, "completed"), (BAD, "rolled_back")])
def test_lost_status_is_written_again(fleet, bad_share, end):
    """A store that came back from an older copy keeps a status that has ended."""
    fleet.bad_share = bad_share
    fleet.order()
    fleet.run_until(end)
    fleet.revert_store()
    fleet.run(6_000)
    assert fleet.store.statuses == ["running", end, end]
    assert {fleet.state_at(router) for router in fleet.routers} == {end}
    calls = fleet.store.calls
    fleet.run(3_000)
    assert fleet.store.calls == calls


def test_withdrawn_order_ends_the_release(fleet):
    """The target receives requests after the operator withdrew the order."""
    fleet.order()
    fleet.run(5_000)
    fleet.order("", 0)
    exposed = len(fleet.target_times)
    fleet.run_until("rolled_back")
    assert len(fleet.target_times) == exposed
    assert fleet.store.statuses == ["running", "rolled_back"]


def test_changed_order_starts_over(fleet):
    """The new target inherits outcomes, or the one before serves as an old version."""
    fleet.start_upstreams("v3")
    fleet.order("v3")
    fleet.run(4_000)
    fleet.order(NEW)
    assert 0.7 * DURATION_MS < fleet.run_until("completed") <= DURATION_MS
    rule = fleet.routers[0].state.releases.version_rule(SERVICE)
    assert rule.excluded == {OLD, "v3"}
    assert fleet.store.statuses == ["running", "running", "completed"]


def test_order_back_to_the_old_version_ends_the_release(fleet):
    """All requests are refused, as only the version that was replaced is left."""
    fleet.order()
    fleet.run(4_000)
    fleet.order(OLD)
    assert fleet.run_until("completed") <= 1_000
    rule = fleet.routers[0].state.releases.version_rule(SERVICE)
    assert rule.excluded == {NEW}


def test_repeated_order_changes_the_deadline(fleet):
    """A repeat starts over, or has no effect."""
    fleet.order()
    fleet.run(6_000)
    fleet.order()
    assert 0.7 * DURATION_MS < fleet.run_until("completed") <= DURATION_MS
    assert fleet.store.statuses == ["running", "completed"]


def test_repeated_order_after_a_rollback_is_a_new_release(fleet):
    """A version that was mended can't be released."""
    fleet.bad_share = BAD
    fleet.order()
    fleet.run_until("rolled_back")
    fleet.bad_share = 0
    fleet.order()
    assert fleet.run_until("completed") <= DURATION_MS
    assert fleet.store.statuses == ["running", "rolled_back", "running", "completed"]


def test_paused_decider_does_not_publish_or_write(fleet):
    """A decider that was paused overrules the one that took the lease."""
    fleet.order()
    fleet.run(4_000)
    paused = fleet.decider()
    paused.is_up = False
    fleet.bad_share = BAD
    fleet.run_until("rolled_back")
    paused.is_up = True
    paused.controller.step()
    fleet.run(6_000)
    assert fleet.store.statuses == ["running", "rolled_back"]
    assert {fleet.state_at(router) for router in fleet.routers} == {"rolled_back"}


@pytest.mark.parametrize("seed", range(6))
def test_exposure_is_bounded_while_routers_are_missing_in_the_sums(seed):
    """The exposure grows unseen while routers look for another one that sums."""
    for failed_after in range(2_000, 9_000, 500):
        fleet = ReleaseFleet(bad_share=0.1, seed=seed)
        fleet.requests_per_step = 5  # so few that trials at full load need much of all
        fleet.order()
        fleet.run(failed_after)
        for router in fleet.routers:
            router.reports = router is fleet.decider()
        for _ in range(30):
            fleet.run(100)
            if fleet.state_at(fleet.routers[0]) == "running":
                fleet.assert_exposure_kept()
