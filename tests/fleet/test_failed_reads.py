"""Failed reads of the operator's records, and the age of what is read after them."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Weights
from mulberryhub.fleet.state import FleetState, Topic

MODEL = "m"
READ_INTERVAL_MS = 1_500  # between reads that fail


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=100_000)
        self.fleet_state = FleetState(self.clock, "r1", "a")
        self.fleet_state.mark_read_up_to(Topic.OPERATOR, 1, self.clock.now())

    def fail_reads(self, count):
        for _ in range(count):
            self.clock.advance(READ_INTERVAL_MS)
            self.fleet_state.record_unreadable(self.clock.now())

    def age(self):
        return self.fleet_state.named_weights.time_since_superseded(MODEL, 1)


@pytest.fixture
def fixture():
    return Fixture()


def test_weights_are_no_older_than_an_outage_of_the_store_makes_them(fixture):
    fixture.fail_reads(6)
    fixture.clock.advance(200)
    fixture.fleet_state.apply(Weights(MODEL, 2))
    assert fixture.age() == 200


def test_failed_read_after_a_pause_does_not_make_weights_younger(fixture):
    fixture.clock.advance(8_000)
    fixture.fleet_state.record_unreadable(fixture.clock.now())
    fixture.clock.advance(200)
    fixture.fleet_state.apply(Weights(MODEL, 2))
    assert fixture.age() == 8_200


def test_router_that_was_served_corrects_an_age_that_rests_on_failed_reads(fixture):
    fixture.fail_reads(6)
    fixture.fleet_state.apply(Weights(MODEL, 2))
    fixture.fleet_state.apply(Weights(MODEL, 2, {2: 7_000}), "r2")
    assert fixture.age() == 7_000


def test_age_told_with_the_naming_counts_in_place_of_failed_reads(fixture):
    fixture.fail_reads(6)
    fixture.fleet_state.apply(Weights(MODEL, 2, {2: 7_000}), "r2")
    assert fixture.age() == 7_000


def test_age_that_rests_on_failed_reads_is_neither_told_nor_saved(fixture):
    fixture.fail_reads(6)
    fixture.fleet_state.apply(Weights(MODEL, 2))
    named_weights = fixture.fleet_state.named_weights
    assert named_weights.records() == [Weights(MODEL, 2)]
    assert named_weights.unstored_times() == []


def test_answered_read_ends_what_failed_reads_tell(fixture):
    fixture.fail_reads(3)
    as_of = fixture.clock.now() + 100
    fixture.clock.advance(300)
    fixture.fleet_state.mark_read_up_to(Topic.OPERATOR, 1, as_of)
    fixture.fleet_state.apply(Weights(MODEL, 2))
    assert fixture.age() == 200
    assert fixture.fleet_state.named_weights.unstored_times()
