"""Records that a store lists as they were before it came back from an older copy."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Removal, UpstreamState
from mulberryhub.fleet.removals import RELISTING_TIME_MS, DelayedRemovals
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.store import era_of, offset_of, position_of
from tests.forward.fakes import make_upstream

READY, DRAINING = UpstreamState.READY, UpstreamState.DRAINING


def at(era, offset):
    return position_of(era, offset)


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.fleet_state = FleetState(self.clock)
        self.removals = DelayedRemovals(self.fleet_state, self.clock)

    def read(self, era, offset, **more):
        self.fleet_state.apply_stored_upstream(
            make_upstream("u1", at(era, offset), **more)
        )

    def remove(self, era, offset):
        self.removals.remove("u1", at(era, offset))

    @property
    def state(self):
        upstream = self.fleet_state.upstreams_by_id.get("u1")
        return None if upstream is None else upstream.state

    @property
    def upstream(self):
        return self.fleet_state.upstreams_by_id["u1"]


def test_positions_order_by_era_first():
    assert at(0, 7) == 7
    assert at(1, 0) > at(0, 10**9)
    assert (era_of(at(3, 9)), offset_of(at(3, 9))) == (3, 9)
    assert era_of(-1) < 0


def test_removed_upstream_comes_back_only_with_a_second_record():
    fixture = Fixture()
    fixture.read(0, 5)
    fixture.remove(0, 9)
    fixture.read(1, 5)
    assert fixture.state is None
    fixture.read(1, 5)
    assert fixture.state is None
    fixture.read(1, 7)
    assert fixture.state is READY


def test_later_incarnation_is_used_at_once():
    fixture = Fixture()
    fixture.read(0, 5, started=1)
    fixture.read(1, 2, started=2, address="10.0.0.9:80")
    assert fixture.upstream.address == "10.0.0.9:80"


@pytest.mark.parametrize("started", [1, 900], ids=["behind", "ahead"])
def test_incarnation_with_a_wrong_clock_is_used_with_its_second_record_at_latest(
    started,
):
    fixture = Fixture()
    fixture.read(0, 5, started=500)
    fixture.read(1, 2, started=started)
    fixture.read(1, 4, started=started)
    assert fixture.upstream.started == started


def test_earlier_incarnation_of_the_copy_is_not_used():
    fixture = Fixture()
    fixture.read(0, 5, started=1)
    fixture.read(0, 8, started=2, address="10.0.0.9:80")
    fixture.read(1, 5, started=1)
    assert fixture.upstream.started == 2


def test_draining_upstream_is_ready_only_with_a_second_record():
    fixture = Fixture()
    fixture.read(0, 5)
    fixture.read(0, 8, state=DRAINING)
    fixture.read(1, 5)
    assert fixture.state is DRAINING
    fixture.read(1, 6, state=DRAINING)
    fixture.read(1, 7)
    assert fixture.state is READY


def test_drain_and_removal_after_the_revert_apply_at_once():
    fixture = Fixture()
    fixture.read(0, 50)
    fixture.removals.record_reverted()
    fixture.read(1, 2, state=DRAINING)
    assert fixture.state is DRAINING
    fixture.remove(1, 3)
    assert fixture.state is None


def test_record_of_an_earlier_era_that_arrives_late_is_ignored():
    fixture = Fixture()
    fixture.read(1, 2, started=2)
    fixture.read(0, 90, started=2, state=DRAINING)
    assert fixture.state is READY
    fixture.fleet_state.apply(Removal("u1", at(0, 95)))
    assert fixture.state is READY


def test_record_that_another_router_believes_is_applied():
    fixture = Fixture()
    fixture.read(0, 5)
    fixture.remove(0, 9)
    fixture.fleet_state.apply(make_upstream("u1", at(1, 7)), "n2")
    assert fixture.state is READY


@pytest.mark.parametrize("registers_again", [False, True])
def test_upstream_that_the_copy_lacks_has_time_to_register(registers_again):
    fixture = Fixture()
    fixture.read(0, 5)
    fixture.removals.record_reverted()
    fixture.removals.remove_unlisted([], at(1, 2))
    assert fixture.state is READY
    if registers_again:
        fixture.read(1, 3)
    fixture.clock.advance(RELISTING_TIME_MS)
    fixture.fleet_state.mark_read_up_to(Topic.UPSTREAMS, at(1, 4), fixture.clock.now())
    fixture.removals.apply_due()
    assert fixture.state is (READY if registers_again else None)
