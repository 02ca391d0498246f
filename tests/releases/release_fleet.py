"""Routers that release a service, with a store that fails and no network."""

from random import Random

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.release_records import ReleaseOrder
from mulberryhub.fleet.saved_releases import ReleaseListing
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.store import StoreUnavailable, position_of
from mulberryhub.orders.lease import Lease
from mulberryhub.releases.controller import ReleaseController
from mulberryhub.releases.decision import ReleaseBounds
from mulberryhub.releases.outcomes import OutcomeRecorder, Result
from mulberryhub.releases.sums import RouterSums
from mulberryhub.releases.takeover import ReleaseTakeover
from tests.forward.fakes import make_configuration, make_service, make_upstream
from tests.support.reverting_log import RevertingLog

SERVICE, OLD, NEW = "llm", "v1", "v2"
DURATION_MS = 12_000
STEP_MS = 100
REQUESTS_PER_STEP = 12  # of each router
BOUNDS = ReleaseBounds()


class Store:
    """Both topics; `statuses` are all status records that were written."""

    def __init__(self):
        self.log = RevertingLog()
        self.saved, self.status = [], []
        self.statuses = []
        self.is_lost = False  # whether writes take effect without an answer
        self.calls = 0

    def read(self):
        self._check()
        return ReleaseListing(
            {item.service: item for item in self.saved},
            {item.service: item for item in self.status},
            position_of(self.log.era, len(self.saved)),
            position_of(self.log.era, len(self.status)),
            self.log.era,
        )

    def save(self, saved, end):
        return self._append(self.saved, saved, end)

    def put_status(self, record, end):
        return self._append(self.status, record, end)

    def revert(self):
        """Come back from a copy without any status."""
        self.log.revert(0)
        self.status.clear()

    def _append(self, records, record, end):
        self._check()
        if end != position_of(self.log.era, len(records)):
            raise StoreUnavailable("status 412")
        records.append(record)
        if records is self.status:
            self.statuses.append(str(record.state))
        if self.is_lost:
            self.is_lost = False
            raise StoreUnavailable("no answer")
        return end + 1

    def _check(self):
        self.calls += 1
        if self.log.is_unavailable:
            raise StoreUnavailable("unavailable")


class SimulatedRouter:
    """A router with its own records, outcomes and controller."""

    def __init__(self, name, fleet):
        self.name = name
        self.is_up = True
        self.reports = True
        self.recorder = OutcomeRecorder()
        self.state = state = FleetState(fleet.clock)
        state.apply(make_configuration(services=[make_service(name=SERVICE)]))
        for number in range(fleet.size):
            state.apply(Member(f"r{number}", f"h{number}:1", "a", number))
        for index, version in enumerate((OLD, OLD, NEW, NEW)):
            state.apply(make_upstream(f"u{index}", index, software_version=version))
        lease = Lease(fleet.store.log, fleet.clock, Counters(), "l", name, 1_500, 300)
        takeover = ReleaseTakeover(name, state, lease, lambda: True, fleet.clock)
        self.lease = lease
        self.controller = ReleaseController(
            state,
            lease,
            takeover,
            fleet.store,
            fleet.sums,
            BOUNDS,
            fleet.clock,
            Counters(),
        )

    def counts(self):
        for state in self.state.releases.running_states():
            self.recorder.reset(SERVICE, state.release)
        return self.recorder.counts()


class ReleaseFleet:
    """Routers, of which `bad_share` of the responses of the target fail.

    `bad_times` are the ms at which responses failed, `target_times` those at which
    requests were sent to the target, and `ends` the ms at which each state began.
    """

    def __init__(self, bad_share=0.0, size=3, seed=0):
        self.clock = ManualClock(now=10_000)
        self.store = Store()
        self.size = size
        self.bad_share = bad_share
        self.random = Random(seed)
        self.target_times, self.bad_times, self.received = [], [], 0
        self.requests_per_step = REQUESTS_PER_STEP
        self.order_offset = 0
        self.routers = []
        self.restart_all()

    def restart_all(self):
        self.routers = [SimulatedRouter(f"r{n}", self) for n in range(self.size)]

    def start_upstreams(self, version):
        for router in self.routers:
            upstream = make_upstream(version, 9, software_version=version)
            router.state.apply(upstream)

    def order(self, target=NEW, duration=DURATION_MS):
        self.order_offset += 1
        self.ordered_at = self.clock.now()
        self.last_order = ReleaseOrder(SERVICE, target, duration, self.order_offset)
        self.tell_order()

    def tell_order(self):
        for router in self.routers:
            router.state.apply(self.last_order)

    def revert_store(self):
        self.store.revert()
        position = position_of(self.store.log.era, 5)
        for router in self.routers:
            router.state.mark_read_up_to(Topic.OPERATOR, position, self.clock.now())

    def up(self):
        return [router for router in self.routers if router.is_up]

    def decider(self):
        return next((router for router in self.up() if router.lease.is_held), None)

    def sums(self):
        """Return the sums, in which routers are missing that do not report."""
        reporting = [router for router in self.up() if router.reports]
        totals = {}
        for router in reporting:
            for key, count in router.counts().items():
                totals[key] = totals.get(key, 0) + count
        return RouterSums(totals, len(reporting), 0)

    def run(self, duration):
        for _ in range(duration // STEP_MS):
            self.clock.advance(STEP_MS)
            for router in self.up():
                router.controller.step()
            self._exchange()
            for router in self.up():
                self._send_requests(router)

    def run_until(self, state, timeout=30_000):
        """Run until all routers know `state`; return the ms since the order."""
        deadline = self.clock.now() + timeout
        while {self.state_at(router) for router in self.up()} != {state}:
            assert self.clock.now() < deadline, f"not {state}"
            self.run(STEP_MS)
        return self.clock.now() - self.ordered_at

    def state_at(self, router):
        state = router.state.releases.state(SERVICE)
        return None if state is None else str(state.state)

    def _exchange(self):
        for sender in self.up():
            for state in sender.state.releases.states():
                for router in self.up():
                    router.state.apply(state)

    def _send_requests(self, router):
        rule = router.state.releases.version_rule(SERVICE)
        for _ in range(self.requests_per_step):
            self.received += 1
            is_target = rule is not None and self.random.random() < rule.share
            is_target &= bool(rule and rule.upstreams)
            version = NEW if is_target else OLD
            router.recorder.record_sent(SERVICE, "r", version)
            router.recorder.record_first_byte(SERVICE, "r", version, 20)
            is_bad = is_target and self.random.random() < self.bad_share
            result = Result.FAILED if is_bad else Result.SERVED
            router.recorder.record(SERVICE, "r", version, result)
            if is_target:
                self.target_times.append(self.clock.now())
            if is_bad:
                self.bad_times.append(self.clock.now())

    def assert_exposure_kept(self):
        permitted = BOUNDS.expose_share * self.received + BOUNDS.expose_slack
        assert len(self.target_times) <= permitted

    def assert_bounds_kept(self, stretch=0):
        """Fail if a bad target received more than the bounds permit."""
        self.assert_exposure_kept()
        if len(self.bad_times) >= 50:
            last = self.bad_times[49] + BOUNDS.rollback_time + stretch
            assert self.target_times[-1] <= last
