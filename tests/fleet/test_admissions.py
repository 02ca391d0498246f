"""Tests of admission histories, exchanged between routers whose clocks differ."""

from hypothesis import given, strategies

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.windows import SlidingSum
from mulberryhub.fleet.admissions import SLOT_MS, AdmissionHistory, Admitted, SlotSums

WINDOW_MS = 8_000
EVENTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 400), strategies.integers(1, 900)),
    min_size=1,
    max_size=40,
)


def make_report(sliding, now):
    return Admitted(now % SLOT_MS, {"w": sliding.by_slots(SLOT_MS, now)})


def test_reported_amounts_count_for_one_window():
    clock = ManualClock(now=50_300)
    history = AdmissionHistory(WINDOW_MS, clock)
    history.merge(Admitted(300, {"w": [7, 5]}))
    assert history.total("w") == 12
    clock.advance(WINDOW_MS - 1_300)
    assert history.total("w") == 12
    clock.advance(1_500)
    assert history.total("w") == 7 * 0.5
    clock.advance(1_000)
    assert history.total("w") == 0
    assert history.admitted().slots_by_workspace == {}


def test_repeated_reports_count_once():
    clock = ManualClock(now=50_700)
    history = AdmissionHistory(WINDOW_MS, clock)
    admitted = SlidingSum(WINDOW_MS)
    admitted.add(900, 20_300)
    for now in range(20_350, 23_000, 250):
        clock.advance(250)
        history.merge(make_report(admitted, now))
    assert round(history.total("w")) == 900


def test_sum_without_stopped_router_does_not_lower_total():
    clock = ManualClock(now=50_000)
    history = AdmissionHistory(WINDOW_MS, clock)
    sums = SlotSums()
    for amount in (300, 500):
        sums.add(Admitted(0, {"w": [0, amount]}), clock.now())
    history.merge_sums(sums)
    clock.advance(400)
    history.merge(Admitted(400, {"w": [20, 300]}))
    assert history.total("w") == 820


@given(EVENTS, strategies.integers(0, 5_000), strategies.integers(0, 5_000))
def test_relayed_histories_neither_lose_nor_duplicate_amounts(events, offset, phase):
    """After each event, a report passes through two routers with their own clocks."""
    source, first, second = (
        ManualClock(now=100_000),
        ManualClock(now=200_000 + offset),
        ManualClock(now=300_000 + phase),
    )
    sliding = SlidingSum(WINDOW_MS)
    relayed = AdmissionHistory(WINDOW_MS, first)
    received = AdmissionHistory(WINDOW_MS, second)
    admitted = 0
    for pause, amount in events:
        for clock in (source, first, second):
            clock.advance(pause // 4)
        sliding.add(amount, source.now())
        admitted += amount
        relayed.merge(make_report(sliding, source.now()))
        received.merge(relayed.admitted())
    rounding = 2 * len(events)
    assert abs(relayed.total("w") - admitted) <= rounding
    assert abs(received.total("w") - admitted) <= 2 * rounding
