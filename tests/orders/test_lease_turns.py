"""Routers that take the lease in turn give no orders within the time between holders.

They stand still, start again, tell each other of records, lose appends and wait for the
log, on clocks that run at different rates.
"""

from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.orders.lease import Lease
from tests.support.memory_log import MemoryLog

ROUTERS = range(3)
ORDER_DELAY_MS = 3_000
LEASE_DURATION_MS = 2_000
LEASE_MARGIN_MS = 300
ROUND_MS = 100
RENEWAL_ROUNDS = 7
# Their largest difference over a lease and the delay of orders is within the margin.
CLOCK_RATES = [0.975, 1.0, 1.025]


class SkewedClock:
    """Runs at `rate` of the true clock."""

    def __init__(self, clock, rate):
        self._clock = clock
        self._rate = rate

    def now(self):
        return round(self._clock.now() * self._rate)

    def wall(self):
        return self._clock.wall()


class Fleet:
    def __init__(self, faults):
        self.clock = ManualClock(now=100_000)
        self.log = MemoryLog(self.clock, self._next_fault)
        self.faults = faults
        self.orders = []
        self.rounds = 0
        self.stopped_until = dict.fromkeys(ROUTERS, 0)
        self.leases = [self._make(number) for number in ROUTERS]

    def _make(self, number):
        clock = SkewedClock(self.clock, CLOCK_RATES[number])
        return Lease(
            self.log,
            clock,
            Counters(),
            "lease",
            f"vm-{number}",
            LEASE_DURATION_MS,
            LEASE_MARGIN_MS,
        )

    def _next_fault(self):
        fault, pause = self.faults.pop() if self.faults else ("none", 0)
        self.clock.advance(pause)
        return fault

    def apply(self, event, number, rounds):
        if event == "stop":
            self.stopped_until[number] = self.rounds + rounds
        elif event == "restart":
            self.leases[number] = self._make(number)
            self.stopped_until[number] = self.rounds
        for _ in range(rounds):
            self.play_round(tells=event == "tell")

    def play_round(self, tells):
        self.rounds += 1
        self.clock.advance(ROUND_MS)
        for number in ROUTERS:
            if self.stopped_until[number] < self.rounds:
                self._step(number, tells)

    def _step(self, number, tells):
        lease = self.leases[number]
        if (self.rounds + number) % RENEWAL_ROUNDS == 0:
            lease.renew_or_acquire()
        if lease.is_held and lease.has_other_expired_for(ORDER_DELAY_MS):
            self._order(number, lease)
            if tells:
                self._tell(lease.offset)

    def _tell(self, offset):
        for lease in self.leases:
            lease.note_record(offset)

    def _order(self, number, lease):
        now = self.clock.now()
        if self.orders:
            last_number, last_at, last_fence = self.orders[-1]
            assert last_number == number or now - last_at >= ORDER_DELAY_MS
            assert lease.offset >= last_fence
        self.orders.append((number, now, lease.offset))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["run", "stop", "stop", "restart", "tell", "tell"]),
        st.sampled_from(ROUTERS),
        st.sampled_from([1, 5, 20, 30, 60, 90]),
    ),
    min_size=10,
    max_size=40,
)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["none", "none", "none", "lost", "late", "refused"]),
        st.sampled_from([0, 0, 0, 300, 1_500, 4_000]),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(EVENTS, FAULTS)
def test_orders_of_two_holders_are_never_closer_than_the_delay(events, faults):
    fleet = Fleet(faults)
    for event, number, rounds in events:
        fleet.apply(event, number, rounds)


def may_order(lease):
    return lease.is_held and lease.has_other_expired_for(ORDER_DELAY_MS)


def test_slow_clock_of_a_holder_brings_no_orders_of_two_holders_too_close():
    fleet = Fleet([])
    slow, fast = fleet.leases[0], fleet.leases[2]
    while not slow.is_held:
        fleet.clock.advance(10)
        slow.renew_or_acquire()
    fast.read_new_records()
    while slow.is_held:
        fleet.clock.advance(10)
    ended_at = fleet.clock.now()
    while not may_order(fast):
        fleet.clock.advance(10)
        fast.renew_or_acquire()
    assert fleet.clock.now() - ended_at >= ORDER_DELAY_MS
