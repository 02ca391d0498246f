import msgspec
from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.orders.lease import LEASE_DURATION_MS, LEASE_MARGIN_MS, Lease
from tests.support.memory_log import MemoryLog


def make_leases(log, clock, count=3):
    return [Lease(log, clock, Counters(), "lease", f"vm-{n}") for n in range(count)]


def acquire(lease, clock):
    for _ in range(20):
        lease.renew_or_acquire()
        if lease.is_held:
            return
        clock.advance(1_000)
    raise AssertionError("the lease was not acquired")


def test_new_router_waits_for_a_whole_duration_before_acquiring():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    assert clock.now() > LEASE_DURATION_MS
    second.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS)
    second.renew_or_acquire()
    assert not second.is_held and not first.is_held


def test_holder_renews_and_offset_increases():
    clock = ManualClock()
    first, second, _ = make_leases(MemoryLog(clock), clock)
    acquire(first, clock)
    offset = first.offset
    for _ in range(10):
        clock.advance(LEASE_DURATION_MS // 2)
        first.renew_or_acquire()
        second.renew_or_acquire()
        assert first.is_held and not second.is_held
    assert first.offset > offset


def test_paused_holder_loses_the_lease():
    clock = ManualClock()
    first, second, _ = make_leases(MemoryLog(clock), clock)
    acquire(first, clock)
    second.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    second.renew_or_acquire()
    assert second.is_held and second.offset > first.offset
    assert not first.is_held
    first.renew_or_acquire()
    assert not first.is_held and first.held_since_ms is None


def test_append_with_lost_answer_acquires_the_lease():
    clock = ManualClock()
    faults = ["lost"]
    log = MemoryLog(clock, lambda: faults.pop() if faults else "none")
    lease = make_leases(log, clock)[0]
    lease.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    lease.renew_or_acquire()
    assert not lease.is_held
    lease.renew_or_acquire()
    assert lease.is_held


def test_first_of_two_concurrent_records_acquires_the_lease():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    first.renew_or_acquire()
    second.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    interruptions = [first.renew_or_acquire]

    def interrupt():
        if interruptions:
            interruptions.pop()()
        return "none"

    log.next_fault = interrupt
    second.renew_or_acquire()
    assert first.is_held and not second.is_held
    first.renew_or_acquire()
    assert first.is_held and len(log.records_by_stream["lease"]) == 3


def test_duration_counts_from_before_the_append():
    clock = ManualClock()
    log = MemoryLog(clock)
    lease = make_leases(log, clock)[0]
    lease.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    log.next_fault = lambda: clock.advance(LEASE_DURATION_MS - 1_000) or "none"
    lease.renew_or_acquire()
    assert lease.is_held
    clock.advance(1_000)
    assert not lease.is_held


# Index of the router that calls step(), and the ms that pass before the call.
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from([0, 500, 2_000, 5_000, 8_000])),
    min_size=20,
    max_size=60,
)
FAULTS = st.lists(st.sampled_from(["none", "none", "lost", "late", "refused"]))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS, FAULTS)
def test_at_most_one_router_holds_the_lease(steps, faults):
    clock = ManualClock()
    log = MemoryLog(clock, lambda: faults.pop() if faults else "none")
    leases = make_leases(log, clock)
    highest_offset = -1
    for index, pause_ms in steps:
        clock.advance(pause_ms)
        leases[index].renew_or_acquire()
        sleep(0)
        holders = [lease for lease in leases if lease.is_held]
        assert len(holders) <= 1
        for holder in holders:
            assert holder.offset >= highest_offset
            highest_offset = holder.offset


def test_lease_whose_records_expired_unread_is_not_granted_twice():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    second.read_new_records()
    acquire(first, clock)
    log.oldest = log.end("lease")
    second.renew_or_acquire()
    assert first.is_held and not second.is_held
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    second.renew_or_acquire()
    assert second.is_held and not first.is_held


ORDER_DELAY_MS = 3_000


def hold_for(lease, clock, duration):
    for _ in range(duration // 500):
        clock.advance(500)
        lease.renew_or_acquire()
        assert lease.is_held


def take_over(lease, clock):
    lease.renew_or_acquire()
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    lease.renew_or_acquire()
    assert lease.is_held


def test_restarted_holder_does_not_wait_for_its_own_lease_after_one_of_another():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    take_over(second, clock)
    hold_for(second, clock, LEASE_DURATION_MS)
    restarted = make_leases(log, clock)[1]
    restarted.renew_or_acquire()
    assert restarted.is_held
    assert restarted.has_other_expired_for(ORDER_DELAY_MS)


def test_restarted_holder_waits_where_another_held_the_lease_lately():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    taken_at = clock.now()
    take_over(second, clock)
    restarted = make_leases(log, clock)[1]
    restarted.renew_or_acquire()
    assert restarted.is_held
    while not restarted.has_other_expired_for(ORDER_DELAY_MS):
        clock.advance(100)
    assert clock.now() - taken_at >= LEASE_DURATION_MS + ORDER_DELAY_MS


def test_restarted_router_waits_for_a_lease_taken_after_its_own():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    take_over(second, clock)
    restarted = make_leases(log, clock)[0]
    restarted.renew_or_acquire()
    assert not restarted.is_last_holder and not restarted.is_held
    assert not restarted.has_other_expired_for(ORDER_DELAY_MS)


def test_lease_counts_from_when_others_told_of_its_record():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    second.note_record(first.offset)
    clock.advance(LEASE_DURATION_MS + LEASE_MARGIN_MS + 1)
    second.renew_or_acquire()
    assert second.is_held and not first.is_held


def test_record_that_others_told_of_does_not_shorten_a_renewed_lease():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    second.note_record(first.offset)
    hold_for(first, clock, LEASE_DURATION_MS + LEASE_MARGIN_MS + 500)
    second.renew_or_acquire()
    assert first.is_held and not second.is_held


def test_record_of_an_earlier_release_is_read():
    clock = ManualClock()
    log = MemoryLog(clock)
    payload = msgspec.msgpack.encode({"holder": "vm-0", "nonce": b"1", "after": -1})
    log.add("lease", [payload])
    first, second, _ = make_leases(log, clock)
    first.renew_or_acquire()
    second.renew_or_acquire()
    assert first.is_held and not second.is_held


def test_restarted_holder_does_not_wait_where_the_first_records_of_the_log_are_gone():
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second, _ = make_leases(log, clock)
    acquire(first, clock)
    take_over(second, clock)
    hold_for(second, clock, LEASE_DURATION_MS)
    log.oldest = log.end("lease") - 1
    restarted = make_leases(log, clock)[1]
    restarted.renew_or_acquire()
    assert restarted.is_held
    assert restarted.has_other_expired_for(ORDER_DELAY_MS)
