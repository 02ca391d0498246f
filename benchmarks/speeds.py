"""Measures the processor time of one selection where upstreams differ in speed.

Run `python -m benchmarks.speeds`. It is compared with the time without learned speeds,
and the estimation of all speeds and the size of a report are measured beside it.
"""

import sys
from random import Random
from time import perf_counter_ns

import defopt
import msgspec
from loguru import logger

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import (
    RequestKind,
    Route,
    Service,
    Target,
    Upstream,
    UpstreamState,
    Usage,
)
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.call import Attempt, Call, PromptPart
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.rate_limits import UpstreamRateLimits
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.slowness import HALF_LIFE_MS
from mulberryhub.forward.speeds import REFRESH_INTERVAL_MS, UpstreamSpeeds
from mulberryhub.forward.transfer_cost import fixed_transfer_cost
from mulberryhub.http.messages import Headers, Request
from mulberryhub.permits.allocator import PermitAllocator
from mulberryhub.permits.stock import Flow, PermitStock
from mulberryhub.upstream.health import UpstreamHealth

UPSTREAM_COUNTS = (14, 100, 1_000, 3_300)
SPEEDS = (0.6, 1.0, 1.6)
MODEL = "m"
SERVICE = Service("llm", 64, [MODEL], 100_000)
ROUTE = Route("r", "h", "/", RequestKind.STREAMING, [Target("llm", 1)], 4_000, 435)
RESPONSES_PER_UPSTREAM = 20
ANSWER_TOKENS = 20
PAUSE_MS = 20  # for each token at the usual speed
VERSION_TIME_MS = 10_000


class SpeedTimes(msgspec.Struct):
    """Times in microseconds, and the size of what a report has of speeds.

    `plain` is a selection without learned speeds, `learned` one with them. `refresh` is
    the estimation of all speeds and `encoding` that of a report, `different` the number
    of upstreams that count as slow or fast.
    """

    upstreams: int
    plain: float
    learned: float
    refresh: float
    encoding: float
    report_bytes: int
    different: int


def build_call(number):
    """Return a call whose shared part is one of 997."""
    request = Request(b"POST", b"/p", Headers(), b"x" * 9_000, 0)
    call = Call(request, str(number), "h", "/p")
    call.model = MODEL
    call.prompt_parts = [
        PromptPart(f"s{number % 997}", 6_300),
        PromptPart("own", 2_900),
    ]
    call.prompt_tokens = 9_200
    call.output_tokens = 60
    return call


def build_fleet_state(upstream_count, clock):
    """Return a FleetState with ready upstreams of one service."""
    fleet_state = FleetState(clock)
    for number in range(upstream_count):
        upstream = Upstream(
            f"upstream-{number}",
            "llm",
            f"10.0.{number // 250}.{number % 250}:80",
            "a",
            UpstreamState.READY,
            number + 1,
            versions_by_model={MODEL: 1},
        )
        fleet_state.apply(upstream)
    return fleet_state


def build_selector(fleet_state, clock, adjustments=(), **functions):
    """Return an UpstreamSelector of a router that hears no others."""
    allocator = PermitAllocator(lambda: 1, clock)
    stock = PermitStock(allocator.grant, clock)
    rate_limits = UpstreamRateLimits(fleet_state, stock, Counters())
    return UpstreamSelector(
        fleet_state,
        ExpectedDelay(Loads(Usage, clock).work, adjustments).of,
        fixed_transfer_cost("a"),
        UpstreamHealth(clock, Counters()),
        UpstreamHealth(clock, Counters()),
        UpstreamAvailability("n", fleet_state, rate_limits, clock, Counters()),
        VERSION_TIME_MS,
        **functions,
    )


def teach(speeds, upstreams, clock):
    """Record responses of all upstreams, whose speeds take turns."""
    job = Job(build_call(0), ROUTE, SERVICE, None, 4_000)
    responses = list(enumerate(upstreams)) * RESPONSES_PER_UPSTREAM
    Random(1).shuffle(responses)
    for index, upstream in responses:
        attempt = Attempt(upstream, None, 0)
        duration = ANSWER_TOKENS * PAUSE_MS / SPEEDS[index % len(SPEEDS)]
        attempt.event_times.record(0, 0)
        attempt.event_times.record(ANSWER_TOKENS, duration)
        speeds.record_completed(job, attempt)
    for _ in range(HALF_LIFE_MS // REFRESH_INTERVAL_MS // 2):
        clock.advance(REFRESH_INTERVAL_MS)
        speeds.processing_cost(job.call, SERVICE)


def median_time(function, count):
    """Return the median time of `function(number)` in microseconds."""
    times = []
    for number in range(count):
        start = perf_counter_ns()
        function(number)
        times.append((perf_counter_ns() - start) / 1_000)
    return sorted(times)[count // 2]


def measure(upstream_count, decisions):
    """Return the SpeedTimes of `decisions` decisions among `upstream_count`."""
    clock = ManualClock()
    fleet_state = build_fleet_state(upstream_count, clock)
    speeds = UpstreamSpeeds(fleet_state, Usage, clock)
    teach(speeds, fleet_state.upstreams_by_id.values(), clock)
    plain = build_selector(fleet_state, clock)
    learned = build_selector(
        fleet_state,
        clock,
        (speeds.adjust_delay,),
        processing_cost=speeds.processing_cost,
        rank_homes=speeds.rank_homes,
    )

    def choose_with(selector):
        flow = Flow("0/w")
        return lambda number: selector.choose(
            build_call(number), ROUTE, SERVICE, set(), flow
        )

    def refresh(number):
        clock.advance(REFRESH_INTERVAL_MS)
        speeds.processing_cost(build_call(0), SERVICE)

    plain_time = median_time(choose_with(plain), decisions)
    learned_time = median_time(choose_with(learned), decisions)
    different = len(speeds.speeds_by_id())
    weights, slowness = speeds.shared_sums()
    usage = Usage(speed_weight_by_incarnation=weights, slowness_by_incarnation=slowness)
    return SpeedTimes(
        upstream_count,
        plain_time,
        learned_time,
        median_time(refresh, 5),
        median_time(lambda number: speeds.shared_sums(), 5),
        len(msgspec.msgpack.encode(usage)) - len(msgspec.msgpack.encode(Usage())),
        different,
    )


def run(*, decisions: int = 200):
    """Measure all numbers of upstreams.

    :param decisions: decisions timed for each of them
    """
    logger.remove()
    rows = [measure(count, decisions) for count in UPSTREAM_COUNTS]
    for row in rows:
        print(
            f"{row.upstreams:6} upstreams, {row.different} differ: "
            f"plain {row.plain:.0f} us, learned {row.learned:.0f} us, "
            f"refresh {row.refresh:.0f} us, encoding {row.encoding:.0f} us, "
            f"{row.report_bytes} bytes",
            file=sys.stderr,
        )
    print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    defopt.run(run)
