"""Data centres whose routers place requests while load reports arrive with a delay.

Each upstream processes one request at a time. No network and no real time is used.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.locality import Locality
from mulberryhub.forward.part_places import StoredParts
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.transfer_cost import measured_transfer_cost
from mulberryhub.forward.work import Work
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward.fakes import (
    FLOW,
    make_call,
    make_rate_limits,
    make_route,
    make_service,
    make_upstream,
)

DATA_CENTRES = "abc"
RUN_MS = 20  # in which an upstream of speed 1 processes a request
REPORT_PERIOD_MS = 250
WORK = Work(RUN_MS, 0, False)
SHARED_TOKENS = 6_000  # of a prompt
BODY = b"x" * 9_000
TARGET_MS = 315


class Router:
    """A router; one that is deaf hears none elsewhere, every other one of them none."""

    def __init__(self, simulation, name, data_centre, is_deaf):
        clock = simulation.clock
        self.data_centre = data_centre
        self.is_deaf = is_deaf
        self.hears_home = not is_deaf or int(name[1:]) % 2
        self.others = Usage(routers=0)
        self.loads = Loads(lambda: self.others, clock)
        transfer_cost = measured_transfer_cost(data_centre, 100, lambda name: 2)
        self.locality = Locality(
            data_centre,
            lambda: simulation.has_store,
            lambda max_age: frozenset() if is_deaf else frozenset(DATA_CENTRES),
            transfer_cost,
            clock,
            Counters(),
            simulation.random.random,
        )
        availability = UpstreamAvailability(
            name,
            simulation.fleet_state,
            make_rate_limits(simulation.fleet_state, clock),
            clock,
            Counters(),
        )
        self.connect_health = UpstreamHealth(clock, Counters())
        self.selector = UpstreamSelector(
            simulation.fleet_state,
            ExpectedDelay(self.loads.work).of,
            transfer_cost,
            self.connect_health,
            UpstreamHealth(clock, Counters()),
            availability,
            10_000,
            self.locality,
            StoredParts(
                lambda call, *args: call.shared_parts[-1].id in simulation.held,
                lambda: SHARED_TOKENS * len(simulation.held),
            ),
        )


class Placed:
    """A request: when it was sent, from and to which data centre, and its wait."""

    def __init__(self, at, source, part, upstream, wait):
        self.at, self.source, self.part, self.wait = at, source, part, wait
        self.destination = upstream.data_centre
        self.upstream_id = upstream.id


class Simulation:
    """`load(data_centre, ms)` is the demand relative to a data centre's capacity."""

    def __init__(
        self, random, load, upstreams=6, routers=80, deaf_share=0, speeds=(1,)
    ):
        self.random, self.load = random, load
        self.clock = ManualClock()
        self.fleet_state = FleetState(self.clock)
        self.has_store = self.has_shared_parts = True
        self.service = make_service()
        self.parts = [f"p{number}" for number in range(400)]
        self.held = set(self.parts)
        self.placed = []
        self.free_at_by_id = {}
        self.speed_by_id = {}
        for index in range(upstreams * len(DATA_CENTRES)):
            data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            upstream = make_upstream(f"u{index}", index + 1, data_centre=data_centre)
            self.fleet_state.apply(upstream)
            self.free_at_by_id[upstream.id] = 0
            self.speed_by_id[upstream.id] = speeds[index // 3 % len(speeds)]
        self.rate = upstreams / RUN_MS * sum(speeds) / len(speeds)  # per ms
        self.routers_by_data_centre = {name: [] for name in DATA_CENTRES}
        for number in range(routers):
            name = DATA_CENTRES[number % len(DATA_CENTRES)]
            is_deaf = random.random() < deaf_share
            router = Router(self, f"r{number}", name, is_deaf)
            self.routers_by_data_centre[name].append(router)
        self._remote_by_data_centre = {name: Usage(routers=0) for name in DATA_CENTRES}
        self._due = []
        self._sequence = count()

    def run(self, duration):
        """Send requests for `duration` ms."""
        for now in range(self.clock.now(), self.clock.now() + duration):
            self._advance(now)
            if now % REPORT_PERIOD_MS == 0:
                self._exchange_reports()
            for name in DATA_CENTRES:
                rate = self.rate * self.load(name, now)
                while self.random.random() < rate / (1 + rate):
                    self._send(self.random.choice(self.routers_by_data_centre[name]))
        return self

    def _send(self, router):
        part = self.random.choice(self.parts)
        shared = ((part, SHARED_TOKENS),) if self.has_shared_parts else ()
        call = make_call((*shared, ("own", 1_800)), BODY)
        route = make_route(target_latency=TARGET_MS)
        choice = router.selector.choose(call, route, self.service, set(), FLOW)
        id, now = choice.upstream.id, self.clock.now()
        router.loads.record_sent(id, WORK)
        run_time = RUN_MS / self.speed_by_id[id]
        ended_at = max(now, self.free_at_by_id[id]) + run_time
        self.free_at_by_id[id] = ended_at
        placed = Placed(now, router.data_centre, part, choice.upstream, ended_at - now)
        self.placed.append(placed)
        heappush(self._due, (ended_at, next(self._sequence), router, id))

    def _advance(self, now):
        self.clock.advance(now - self.clock.now())
        while self._due and self._due[0][0] <= now:
            _, _, router, id = heappop(self._due)
            router.loads.record_ended(id, WORK, False)

    def _exchange_reports(self):
        """Report the work in flight: at once at home, a period later elsewhere."""
        local_by_data_centre = {}
        own_by_router = {}
        for name, routers in self.routers_by_data_centre.items():
            total = local_by_data_centre[name] = Usage(routers=0)
            for router in routers:
                work = router.loads.local_work_by_upstream()
                own_by_router[router] = Usage(work_by_upstream=work)
                total.add(own_by_router[router])
        for router, own in own_by_router.items():
            if router.hears_home:
                router.others = local_by_data_centre[router.data_centre].minus(own)
            if router.is_deaf:
                continue
            for name, usage in self._remote_by_data_centre.items():
                if name != router.data_centre:
                    router.others.add(usage)
        self._remote_by_data_centre = local_by_data_centre

    def sent(self, source, since=0, until=10**9):
        """Return the requests of a data centre that were sent in a time."""
        return [
            item
            for item in self.placed
            if item.source == source and since <= item.at < until
        ]

    def shares(self, source, since=0, until=10**9):
        """Return the share of those requests by destination."""
        sent = self.sent(source, since, until)
        counts = Counter(item.destination for item in sent)
        return {name: counts[name] / len(sent) for name in DATA_CENTRES}


def late_share(requests):
    """Return the share of `requests` that began after the latency target."""
    return sum(item.wait > TARGET_MS for item in requests) / len(requests)
