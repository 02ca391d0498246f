"""The lease over a log that comes back from an older copy.

Guards against two holders at a time, and against fencing tokens that fall.
"""

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.orders.lease import LEASE_DURATION_MS, LEASE_MARGIN_MS, Lease
from tests.support.reverting_log import RevertingLog

HOLDERS = range(3)


class Interleavings(RuleBasedStateMachine):
    """Three routers that renew a lease while the log reverts, trims and fails."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(now=1_000)
        self.log = RevertingLog()
        self.leases = [self._make(number) for number in HOLDERS]
        self.highest = {}

    def _make(self, number):
        return Lease(self.log, self.clock, Counters(), "lease", f"vm-{number}")

    @rule(number=sampled_from(HOLDERS))
    def router_renews(self, number):
        self.leases[number].renew_or_acquire()

    @rule(number=sampled_from(HOLDERS))
    def router_reads(self, number):
        self.leases[number].read_new_records()

    @rule(number=sampled_from(HOLDERS), rounds=integers(1, 6))
    def router_stays_active(self, number, rounds):
        for _ in range(rounds):
            self.clock.advance(LEASE_DURATION_MS // 3)
            self.leases[number].renew_or_acquire()
            self.at_most_one_router_holds_the_lease()

    @rule(number=sampled_from(HOLDERS))
    def router_restarts(self, number):
        self.leases[number] = self._make(number)

    @rule(duration=integers(1, LEASE_DURATION_MS + 2 * LEASE_MARGIN_MS))
    def time_passes(self, duration):
        self.clock.advance(duration)

    @rule(lost_count=integers(0, 5))
    def log_reverts(self, lost_count):
        self.log.revert(lost_count)

    @rule()
    def log_is_trimmed(self):
        self.log.trim()

    @rule(is_unavailable=booleans())
    def log_fails(self, is_unavailable):
        self.log.is_unavailable = is_unavailable

    @invariant()
    def at_most_one_router_holds_the_lease(self):
        holders = [lease for lease in self.leases if lease.is_held]
        assert len(holders) <= 1
        for lease in holders:
            others = [
                offset for name, offset in self.highest.items() if name is not lease
            ]
            assert lease.offset > max(others, default=-1)
            self.highest[lease] = lease.offset


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(max_examples=150, stateful_step_count=40)


def test_lease_is_acquired_again_after_a_revert():
    clock, log = ManualClock(now=1_000), RevertingLog()
    lease = Lease(log, clock, Counters(), "lease", "vm-0")
    tokens = []
    for _ in range(3):
        for _ in range(12):
            clock.advance(LEASE_DURATION_MS // 4)
            lease.renew_or_acquire()
        assert lease.is_held
        tokens.append(lease.offset)
        log.revert(100)
    assert tokens == sorted(tokens)
