"""Routers that ask a coordinator for permits, on a virtual clock without a network."""

from collections import deque
from random import Random

from greenlet import getcurrent

from mulberryhub.permits import stock
from mulberryhub.permits.allocator import PermitAllocator
from mulberryhub.permits.share import SAMPLE_INTERVAL_MS, CoordinatorShare
from mulberryhub.permits.stock import Flow, PermitStock
from tests.forward.fakes import make_upstream
from tests.forward.virtual_time import VirtualTime

WINDOW_MS = 4_000
CONTACT_TIME_MS = 3_000
REPORT_INTERVAL_MS = 250
MAX_REPORT_AGE_MS = 2_000
DETECTION_TIME_MS = 1_300  # until routers notice that one is cut off
ROUND_TRIP_MS = 3
ASK_TIMEOUT_MS = 150
UPSTREAM = make_upstream("u1", 1)
FLOW = Flow("0/w")


class VirtualEvent:
    """Replaces the Event of PermitStock."""

    def __init__(self, time):
        self._time = time
        self._waiting = []

    def wait(self):
        current = getcurrent()
        self._waiting.append(current)
        current.parent.switch()

    def send(self):
        for waiting in self._waiting:
            self._time.after(0, waiting.switch)


class ModelRouter:
    """One router with the parts that take and issue permits."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.is_cut = False
        self.cut_changed_at = -DETECTION_TIME_MS
        self.reports_by_number = {}
        self.start()

    def start(self):
        """Start with no memory of what was granted before."""
        clock = self.fleet.time.clock
        self.share = CoordinatorShare(
            self.count_followers, lambda: len(self.fleet.routers), clock
        )
        self.allocator = PermitAllocator(self.share.current, clock)
        self.stock = PermitStock(self.ask, clock)

    def count_followers(self):
        oldest = self.fleet.time.clock.now() - MAX_REPORT_AGE_MS
        others = sum(
            at >= oldest and coordinator == self.number
            for at, coordinator in self.reports_by_number.values()
        )
        return others + (self.coordinator() is self)

    def coordinator(self):
        """Return the first router that is not known to be cut off from this one."""
        if self.is_known_cut():
            return self
        return next(
            router for router in self.fleet.routers if not router.is_known_cut()
        )

    def is_known_cut(self):
        """Return whether a cut, or its end, has been noticed."""
        elapsed = self.fleet.time.clock.now() - self.cut_changed_at
        return self.is_cut if elapsed >= DETECTION_TIME_MS else not self.is_cut

    def set_cut(self, is_cut):
        self.is_cut = is_cut
        self.cut_changed_at = self.fleet.time.clock.now()

    def ask(self, request):
        coordinator = self.coordinator()
        if coordinator is self:
            return self.allocator.grant(request)
        if self.is_cut or coordinator.is_cut:
            self.fleet.time.sleep(ASK_TIMEOUT_MS / 1_000)
            return None
        self.fleet.asks += 1
        self.fleet.time.sleep(ROUND_TRIP_MS / 2_000)
        grant = coordinator.allocator.grant(request)
        self.fleet.time.sleep(ROUND_TRIP_MS / 2_000)
        return grant


class FleetModel:
    """Routers before one upstream that declares `rate` requests/s."""

    def __init__(self, monkeypatch, routers, rate, seed=1):
        self.time = VirtualTime()
        monkeypatch.setattr(stock, "Event", lambda: VirtualEvent(self.time))
        monkeypatch.setattr(stock, "uniform", Random(seed).uniform)
        self.rate = rate
        self.rates = []
        self.random = Random(seed)
        self.asks = 0
        self.arrivals = []
        self.refused_count_by_flow = {}
        self.routers = []
        self.routers = [ModelRouter(self, number) for number in range(routers)]
        self.time.after(0, self._exchange_reports)
        self.time.after(0, self._sample_shares)
        self.run(CONTACT_TIME_MS)

    def run(self, duration):
        self.time.run(duration)

    def load(self, duration, requests_per_s, flow=FLOW, routers=None):
        """Schedule requests of `flow` to random routers for `duration` ms."""
        routers = routers or self.routers
        for number in range(round(duration * requests_per_s / 1_000)):
            at = number * 1_000 / requests_per_s
            router = self.random.choice(routers)
            self.time.after(at, self.time.spawn, self._request, router, flow)

    def change_rate(self, rate):
        self.rate = rate

    def arrivals_since(self, at):
        return [item for item in self.arrivals if item.at >= at]

    def largest_window(self, since=0):
        largest = 0
        window = deque()
        for item in self.arrivals_since(since):
            window.append(item.at)
            while window[0] <= item.at - WINDOW_MS:
                window.popleft()
            largest = max(largest, len(window))
        return largest

    def _request(self, router, flow):
        deadline = self.time.clock.now() + ASK_TIMEOUT_MS
        if router.stock.is_open(UPSTREAM, flow) and router.stock.take(
            UPSTREAM, self.rate, flow, deadline
        ):
            self.arrivals.append(Arrival(self.time.clock.now(), flow, router.number))
            return
        count = self.refused_count_by_flow.get(flow.key, 0)
        self.refused_count_by_flow[flow.key] = count + 1

    def _exchange_reports(self):
        now = self.time.clock.now()
        live = [router for router in self.routers if not router.is_cut]
        coordinators = {router.coordinator() for router in live}
        for coordinator in coordinators & set(live):
            for router in live:
                if router is not coordinator:
                    report = (now, router.coordinator().number)
                    coordinator.reports_by_number[router.number] = report
        self.time.after(REPORT_INTERVAL_MS, self._exchange_reports)

    def _sample_shares(self):
        for router in self.routers[:3]:
            router.share.sample()
        self.time.after(SAMPLE_INTERVAL_MS, self._sample_shares)


class Arrival:
    def __init__(self, at, flow, router):
        self.at = at
        self.flow = flow
        self.router = router


def allowed(rate):
    return int(1.5 * rate * WINDOW_MS / 1_000 + 5)
