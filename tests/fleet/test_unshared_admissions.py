"""Admissions of a router that was cut off, once it is heard again."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.windows import SlidingSum
from mulberryhub.fleet.admissions import SLOT_MS, Admitted
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.usage import UsageTable

WINDOW_MS = 8_000
WORKSPACE = "w"
NEWEST_SLOTS = 4
PUBLISHED_SLOTS = 5


class Router:
    """A UsageTable with the admissions of its router."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.admitted = SlidingSum(WINDOW_MS)
        self.table = UsageTable(self._measure, "a", WINDOW_MS, clock)
        self.reports = 0

    def admit(self, amount):
        self.admitted.add(amount, self.clock.now())

    def _measure(self):
        now = self.clock.now()
        slots = {WORKSPACE: self.admitted.by_slots(SLOT_MS, now)}
        return Usage(Admitted(now % SLOT_MS, slots))

    def report_to(self, leader, is_first=False):
        usage = self.table.own()
        if is_first:
            known = self.table.admitted_by_data_centre()
            unshared = self.table.take_unshared()
            leader.table.record_report(self.name, usage, known, unshared=unshared)
            return
        usage.admitted = usage.admitted.newest(NEWEST_SLOTS)
        leader.table.record_report(self.name, usage, {})

    def publish_to(self, follower, is_first=False):
        slots = None if is_first else PUBLISHED_SLOTS
        own_part = self.table.reported_usage(follower.name)
        follower.table.record_local(self.table.sum_local(slots), own_part)


class Fixture:
    """A leader with two followers, the second of which is cut off for a while."""

    def __init__(self):
        self.clock = ManualClock(now=50_000)
        self.leader, self.near, self.far = (Router(n, self.clock) for n in "lnf")
        self.exchange(self.near, is_first=True)
        self.exchange(self.far, is_first=True)

    def exchange(self, follower, is_first=False):
        follower.report_to(self.leader, is_first)
        self.leader.publish_to(follower, is_first)

    def run(self, duration, reachable, amount=0):
        """Let all routers admit `amount` per step of 250 ms."""
        for _ in range(0, duration, 250):
            for router in (self.leader, self.near, self.far):
                router.admit(amount)
            self.clock.advance(250)
            for follower in reachable:
                self.exchange(follower)


# What a router admitted while it was cut off is in no sum of those it comes back to.
@pytest.mark.parametrize("cut_ms", [3_000, 6_000, 8_000])
def test_admissions_during_a_cut_count_for_all_routers_after_it(cut_ms):
    fixture = Fixture()
    fixture.run(2_000, [fixture.near, fixture.far])
    fixture.leader.table.forget(fixture.far.name)
    fixture.run(cut_ms, [fixture.near], amount=10)
    fixture.exchange(fixture.far, is_first=True)
    fixture.run(500, [fixture.near, fixture.far])
    each = fixture.far.admitted.total_at(fixture.clock.now())
    for router in (fixture.leader, fixture.near, fixture.far):
        used_by_others = router.table.admitted_by_others(WORKSPACE)
        assert used_by_others >= 0.9 * 2 * each


def test_admissions_that_were_shared_do_not_count_again():
    fixture = Fixture()
    fixture.run(6_000, [fixture.near, fixture.far], amount=10)
    fixture.leader.table.forget(fixture.far.name)
    fixture.exchange(fixture.far, is_first=True)
    fixture.run(500, [fixture.near, fixture.far])
    total = 3 * fixture.far.admitted.total_at(fixture.clock.now())
    known = fixture.leader.table.admitted_in("a")
    assert sum(known.slots_by_workspace[WORKSPACE]) <= 1.1 * total


def test_unshared_admissions_are_taken_only_once():
    fixture = Fixture()
    fixture.run(2_000, [fixture.near, fixture.far])
    fixture.run(7_000, [], amount=10)
    assert fixture.far.table.take_unshared().slots_by_workspace
    fixture.leader.publish_to(fixture.far)
    assert not fixture.far.table.take_unshared().slots_by_workspace
