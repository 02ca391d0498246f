"""Histories of what was admitted, told between routers whose clocks differ."""

from hypothesis import given, strategies

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.admissions import SLOT, Admitted, AdmittedHistory, SlotSums
from mulberryhub.forward.windows import SlidingSum

WINDOW = 8_000  # ms
EVENTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 400), strategies.integers(1, 900)),
    min_size=1,
    max_size=40,
)


def tell(sliding, now):
    return Admitted(now % SLOT, {"w": sliding.by_slots(SLOT, now)})


def test_what_was_told_counts_for_a_window_and_then_no_more():
    clock = ManualClock(now=50_300)
    history = AdmittedHistory(WINDOW, clock)
    history.note(Admitted(300, {"w": [7, 5]}))
    assert history.total("w") == 12
    clock.advance(WINDOW - 1_300)
    assert history.total("w") == 12
    clock.advance(1_500)
    assert history.total("w") == 7 * 0.5
    clock.advance(1_000)
    assert history.total("w") == 0
    assert history.admitted().slots_by_workspace == {}


def test_the_same_told_again_counts_once():
    clock = ManualClock(now=50_700)
    history = AdmittedHistory(WINDOW, clock)
    admitted = SlidingSum(WINDOW)
    admitted.add(900, 20_300)
    for now in range(20_350, 23_000, 250):
        clock.advance(250)
        history.note(tell(admitted, now))
    assert round(history.total("w")) == 900


def test_a_sum_without_a_router_that_ended_does_not_lower_the_total():
    clock = ManualClock(now=50_000)
    history = AdmittedHistory(WINDOW, clock)
    sums = SlotSums()
    for amount in (300, 500):
        sums.add(Admitted(0, {"w": [0, amount]}), clock.now())
    history.note_sums(sums)
    clock.advance(400)
    history.note(Admitted(400, {"w": [20, 300]}))
    assert history.total("w") == 820


@given(EVENTS, strategies.integers(0, 5_000), strategies.integers(0, 5_000))
def test_histories_passed_on_neither_lose_nor_double(events, offset, phase):
    """Facts pass over two routers with clocks of their own after each event."""
    source, first, second = (
        ManualClock(now=100_000),
        ManualClock(now=200_000 + offset),
        ManualClock(now=300_000 + phase),
    )
    sliding = SlidingSum(WINDOW)
    passed = AdmittedHistory(WINDOW, first)
    received = AdmittedHistory(WINDOW, second)
    admitted = 0
    for pause, amount in events:
        for clock in (source, first, second):
            clock.advance(pause // 4)
        sliding.add(amount, source.now())
        admitted += amount
        passed.note(tell(sliding, source.now()))
        received.note(passed.admitted())
    rounding = 2 * len(events)
    assert abs(passed.total("w") - admitted) <= rounding
    assert abs(received.total("w") - admitted) <= 2 * rounding
