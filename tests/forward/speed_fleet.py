"""The pool of test_heavy_load.py with engines of different speeds."""

from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.job import Job
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.speeds import UpstreamSpeeds
from mulberryhub.forward.transfer_cost import fixed_transfer_cost
from mulberryhub.forward.work import estimate_work
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward import test_heavy_load as pool
from tests.forward.fakes import (
    FLOW,
    make_call,
    make_rate_limits,
    make_route,
    make_upstream,
)

SPEEDS = (0.6, 1.0, 1.6)
ANSWER_TOKENS = 20
# Of a request, if an eighth of the shared parts are cached.
MEAN_TOKENS = pool.OWN_TOKENS + 7 / 8 * pool.SHARED_TOKENS


def capacity(speeds):
    """Return the requests/s that engines of `speeds` can process."""
    return sum(speeds) * pool.PREFILL_TOKENS_PER_MS * 1_000 / MEAN_TOKENS


class Engine(pool.Engine):
    """An engine whose own time passes at `speed`."""

    def __init__(self, speed):
        super().__init__()
        self.speed = speed

    def set_speed(self, speed):
        self.free_at *= speed / self.speed
        self.speed = speed

    def process(self, subject, now):
        answer_at, is_hit = super().process(subject, now * self.speed)
        return answer_at / self.speed, is_hit


class Router(pool.Router):
    def __init__(self, name, data_centre, fleet_state, clock, learns):
        super().__init__(name, data_centre, fleet_state, clock)
        self.speeds = UpstreamSpeeds(fleet_state, lambda: self.others, clock)
        if learns:
            limits = make_rate_limits(fleet_state, clock)
            self.selector = UpstreamSelector(
                fleet_state,
                ExpectedDelay(self.loads.work, (self.speeds.adjust_delay,)).of,
                fixed_transfer_cost(data_centre),
                UpstreamHealth(clock, Counters()),
                UpstreamHealth(clock, Counters()),
                UpstreamAvailability(name, fleet_state, limits, clock, Counters()),
                10_000,
                processing_cost=self.speeds.processing_cost,
                rank_homes=self.speeds.rank_homes,
            )


class Fleet(pool.Fleet):
    """`learns` is false for routers that assume the same speed for all engines."""

    def __init__(self, speeds, learns=True, unheard_count=0):
        super().__init__()
        self.fleet_state = FleetState(self.clock)
        self.speeds = speeds
        self.engines_by_id, self.counts_by_id = {}, {}
        for index, speed in enumerate(speeds):
            self.start_engine(index, speed)
        self.routers = [
            Router(
                f"n{n}", pool.DATA_CENTRES[n % 3], self.fleet_state, self.clock, learns
            )
            for n in range(pool.ROUTER_COUNT)
        ]
        self.unheard = self.routers[:unheard_count]

    def start_engine(self, index, speed, offset=0, started=0):
        centre = pool.DATA_CENTRES[index // len(SPEEDS) % 3]
        self.fleet_state.apply(
            make_upstream(
                f"u{index}", offset or index + 1, data_centre=centre, started=started
            )
        )
        self.engines_by_id[f"u{index}"] = Engine(speed)

    def _send_request(self, router, subject):
        parts = (
            ("top", 2_500),
            (f"s{subject}", pool.SHARED_TOKENS - 2_500),
            ("own", pool.OWN_TOKENS),
        )
        call = make_call(prompt_parts=parts, body=b"x" * 9_000)
        job = Job(call, make_route(), self.service, None, 4_000)
        choice = router.selector.choose(call, job.route, self.service, set(), FLOW)
        attempt = Attempt(choice.upstream, None, 0)
        attempt.delay, attempt.sent_at = choice.delay, self.clock.now()
        id = choice.upstream.id
        self.counts_by_id[id] = self.counts_by_id.get(id, 0) + 1
        work = estimate_work(call, self.service, choice.upstream, False)
        router.loads.record_sent(id, work)
        engine = self.engines_by_id[id]
        answer_at, is_hit = engine.process(subject, self.clock.now())
        self.waits.append((self.clock.now(), answer_at - self.clock.now(), id, router))
        self.hits.append(is_hit)

        def begin():
            router.loads.record_answering(id, work)
            attempt.event_times.record(0, self.clock.now())
            router.speeds.record_first_event(job, attempt)

        def end():
            router.loads.record_ended(id, work, True)
            attempt.event_times.record(ANSWER_TOKENS, self.clock.now())
            router.speeds.record_completed(job, attempt)

        self._schedule(answer_at, begin)
        self._schedule(answer_at + pool.ANSWER_TIME_MS / engine.speed, end)

    def _exchange_reports(self):
        total, own = Usage(routers=0), {}
        for router in self.routers:
            weights, slowness = router.speeds.shared_sums()
            own[router] = Usage(
                work_by_upstream=router.loads.local_work_by_upstream(),
                speed_weight_by_incarnation=weights,
                slowness_by_incarnation=slowness,
            )
            total.add(own[router])
        for router in self.routers:
            if router not in self.unheard:
                router.others = total.minus(own[router])
