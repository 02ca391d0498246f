"""How many routers count as possibly admitting, as they come, go and are cut off."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.router_counts import (
    MEMORY_MS,
    SAMPLE_INTERVAL_MS,
    RouterCounts,
)


class Fixture:
    """A router that hears `heard` of `listed` routers, each including itself."""

    def __init__(self, heard, listed):
        self.clock = ManualClock(now=1_000)
        self.heard = heard
        self.listed = listed
        self.counts = RouterCounts(self._others, lambda: self.listed, self.clock)
        self.wait(MEMORY_MS + SAMPLE_INTERVAL_MS)

    def _others(self):
        return Usage(routers=self.heard - 1) if self.heard > 1 else None

    def wait(self, duration):
        for _ in range(0, duration, SAMPLE_INTERVAL_MS):
            self.clock.advance(SAMPLE_INTERVAL_MS)
            self.counts.sample()


def test_all_routers_that_are_heard_are_possible():
    fixture = Fixture(heard=9, listed=9)
    assert (fixture.counts.heard(), fixture.counts.possible()) == (9, 9)


# A router that is not heard any more may be cut off and go on admitting.
@pytest.mark.parametrize("heard", [8, 6, 2])
def test_router_that_is_not_heard_stays_possible_for_a_while(heard):
    fixture = Fixture(heard=9, listed=9)
    fixture.heard = heard
    fixture.wait(MEMORY_MS - 2 * SAMPLE_INTERVAL_MS)
    assert fixture.counts.possible() == 9
    fixture.wait(3 * SAMPLE_INTERVAL_MS)
    assert fixture.counts.possible() == heard


# A router that was added must not stand for one that is cut off at the same time.
def test_added_router_does_not_stand_for_one_that_is_cut_off():
    fixture = Fixture(heard=9, listed=9)
    fixture.heard = 8
    fixture.wait(2_000)
    fixture.heard, fixture.listed = 9, 10
    fixture.wait(2_000)
    assert fixture.counts.possible() == 10


def test_records_of_routers_that_ended_do_not_count_for_ever():
    fixture = Fixture(heard=9, listed=69)
    assert fixture.counts.possible() == 9


def test_started_router_counts_all_that_are_listed():
    clock = ManualClock(now=1_000)
    counts = RouterCounts(lambda: Usage(routers=3), lambda: 9, clock)
    counts.sample()
    assert counts.possible() == 9


def test_router_that_hears_no_other_counts_all_that_are_listed():
    fixture = Fixture(heard=9, listed=9)
    fixture.heard = 1
    fixture.wait(2 * MEMORY_MS)
    assert fixture.counts.possible() == 9
