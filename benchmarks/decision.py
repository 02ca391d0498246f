"""Measures the time of one routing decision of the cost policy.

Run `python -m benchmarks.decision`. The number of engines and the number of prefixes
in the index vary.
"""

import sys
from time import perf_counter_ns

import defopt
import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.config.inventory import Rules, Upstream
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.prefix_chain import prefix_chain
from mulberryhub.routing.request import RouteRequest, Scope

ENGINE_COUNTS = (10, 100, 1_000, 3_300)
PREFIX_COUNTS = (0, 1_000, 4_000, 100_000)
SCOPE = Scope("workspace", "model", "1")


class DecisionTimes(msgspec.Struct):
    """Times in microseconds; `table_bytes` is the approximate size of the prefix index.

    `build_time` is that of the first decision, which builds the placement of engines.
    """

    engines: int
    prefixes: int
    p50: float
    p95: float
    p99: float
    build_time: float
    table_bytes: int


def build_request(request_number):
    """Return a request with three shareable prefixes; the longest has its number."""
    chain = prefix_chain(
        SCOPE, ["system", f"catalogue {request_number % 997}", str(request_number)]
    )
    return RouteRequest(
        SCOPE, [*chain, b"own"], [4_000, 12_000, 16_000, 16_200], [0, 1, 2], 16_200
    )


def measure(engine_count, prefix_count, decisions):
    """Return the times of `decisions` decisions at one size."""
    clock = Clock()
    policy = make_cost_policy(clock, Rules)
    engines = [
        Upstream(f"engine-{i}", "engine", "a", "", prefill_cost=0.05)
        for i in range(engine_count)
    ]
    first_start = perf_counter_ns()
    policy.choose(build_request(0), engines, clock.now())
    build_time = (perf_counter_ns() - first_start) / 1_000
    for request_number in range(prefix_count):
        request = build_request(request_number)
        decision = policy.choose(request, engines, clock.now())
        policy.record_sent(decision, decision.ranked_engine_ids[0])
        policy.record_first_token(decision, decision.ranked_engine_ids[0], 16_000, 50)
        policy.record_ended(decision, decision.ranked_engine_ids[0])
    times = []
    for request_number in range(decisions):
        request = build_request(request_number % max(1, prefix_count))
        start = perf_counter_ns()
        policy.choose(request, engines, clock.now())
        times.append((perf_counter_ns() - start) / 1_000)
    times.sort()
    return DecisionTimes(
        engine_count,
        prefix_count,
        times[len(times) // 2],
        times[int(len(times) * 0.95)],
        times[int(len(times) * 0.99)],
        build_time,
        policy.state.prefix_index.size_in_bytes(),
    )


def run(*, decisions: int = 5_000):
    """Measure all combinations of engine and prefix counts.

    :param decisions: decisions timed for each combination
    """
    rows = []
    for engine_count in ENGINE_COUNTS:
        for prefix_count in PREFIX_COUNTS:
            row = measure(engine_count, prefix_count, decisions)
            rows.append(row)
            print(
                f"{row.engines:6} engines {row.prefixes:7} prefixes: "
                f"p50 {row.p50:.0f} p95 {row.p95:.0f} p99 {row.p99:.0f} us, "
                f"first {row.build_time:.0f} us, table {row.table_bytes} bytes",
                file=sys.stderr,
            )
    print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    defopt.run(run)
