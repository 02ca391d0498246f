from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.orders.lease import DURATION, MARGIN, Lease
from tests.support.memory_log import MemoryLog


def leases_on(log, clock, count=3):
    return [Lease(log, clock, Counters(), "lease", f"vm-{n}") for n in range(count)]


def wait_until_held(lease, clock):
    for _ in range(20):
        lease.step()
        if lease.is_held:
            return
        clock.advance(1_000)
    raise AssertionError("the lease is not taken")


def test_new_router_waits_a_whole_duration():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = leases_on(log, clock)
    wait_until_held(first, clock)
    assert clock.now() > DURATION
    second.step()
    clock.advance(DURATION)
    second.step()
    assert not second.is_held and not first.is_held


def test_holder_renews_and_its_number_grows():
    clock = ManualClock()
    first, second, _ = leases_on(MemoryLog(clock), clock)
    wait_until_held(first, clock)
    offset = first.offset
    for _ in range(10):
        clock.advance(DURATION // 2)
        first.step()
        second.step()
        assert first.is_held and not second.is_held
    assert first.offset > offset


def test_paused_holder_loses_the_lease():
    clock = ManualClock()
    first, second, _ = leases_on(MemoryLog(clock), clock)
    wait_until_held(first, clock)
    second.step()
    clock.advance(DURATION + MARGIN + 1)
    second.step()
    assert second.is_held and second.offset > first.offset
    assert not first.is_held
    first.step()
    assert not first.is_held and first.held_since is None


def test_lost_answer_still_takes_the_lease():
    clock = ManualClock()
    faults = ["lost"]
    log = MemoryLog(clock, lambda: faults.pop() if faults else "none")
    lease = leases_on(log, clock)[0]
    lease.step()
    clock.advance(DURATION + MARGIN + 1)
    lease.step()
    assert not lease.is_held
    lease.step()
    assert lease.is_held


def test_first_of_two_records_takes_the_lease():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = leases_on(log, clock)
    first.step()
    second.step()
    clock.advance(DURATION + MARGIN + 1)
    interruptions = [first.step]

    def interrupt():
        if interruptions:
            interruptions.pop()()
        return "none"

    log.next_fault = interrupt
    second.step()
    assert first.is_held and not second.is_held
    first.step()
    assert first.is_held and len(log.records_by_stream["lease"]) == 3


def test_duration_counts_from_before_the_append():
    clock = ManualClock()
    log = MemoryLog(clock)
    lease = leases_on(log, clock)[0]
    lease.step()
    clock.advance(DURATION + MARGIN + 1)
    log.next_fault = lambda: clock.advance(DURATION - 1_000) or "none"
    lease.step()
    assert lease.is_held
    clock.advance(1_000)
    assert not lease.is_held


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from([0, 500, 2_000, 5_000, 8_000])),
    min_size=20,
    max_size=60,
)
FAULTS = st.lists(st.sampled_from(["none", "none", "lost", "late", "refused"]))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS, FAULTS)
def test_two_never_hold_the_lease(steps, faults):
    clock = ManualClock()
    log = MemoryLog(clock, lambda: faults.pop() if faults else "none")
    leases = leases_on(log, clock)
    highest = -1
    for index, pause in steps:
        clock.advance(pause)
        leases[index].step()
        sleep(0)
        holders = [lease for lease in leases if lease.is_held]
        assert len(holders) <= 1
        for holder in holders:
            assert holder.offset >= highest
            highest = holder.offset
