"""Measures the traffic of routing updates by the number of routers.

Run `python -m benchmarks.routing.update_traffic`. Bytes are those of the encoded
messages, without the headers of RPC calls.
"""

import sys

import defopt
import msgspec

from benchmarks.routing.metrics import compute_metrics
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls
from benchmarks.routing.simulation import Simulation
from mulberryhub.routing.exchange import UpdateMessage
from mulberryhub.routing.policies import make_policy

ROUTER_COUNTS = (3, 6, 9, 24)
DURATION_MS = 30_000
WARM_UP_MS = 10_000


class UpdateTraffic(msgspec.Struct):
    """Update traffic per router and second, and metrics of the routed calls.

    `messages` are sent and received ones, `sent_bytes` only those sent. `hit_rate` is
    a share of prompt tokens and `p95` the time to first token in ms.
    """

    routers: int
    messages: float
    sent_bytes: float
    hit_rate: float
    p95: float


class CountingSimulation(Simulation):
    """A Simulation that counts the exchanged updates and their bytes."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.message_count = 0
        self.byte_count = 0

    def _apply_update(self, now, policy, peer, update):
        self.message_count += 1
        self.byte_count += len(msgspec.msgpack.encode(UpdateMessage(peer, update)))
        super()._apply_update(now, policy, peer, update)


def measure(profile, routers, seed):
    """Return the UpdateTraffic of a simulation with `routers` routers."""

    def make_router_policy(simulation, router_index):
        return make_policy("cost", simulation.clock, seed, lambda: profile.rules)

    simulation = CountingSimulation(
        profile, make_router_policy, seed, router_count=routers
    )
    results = simulation.run(make_calls(profile, seed, DURATION_MS))
    metrics = compute_metrics(results, simulation, (WARM_UP_MS, DURATION_MS))
    seconds = simulation.clock.time / 1_000
    return UpdateTraffic(
        routers,
        2 * simulation.message_count / routers / seconds,
        simulation.byte_count / routers / seconds,
        metrics.hit_rate,
        metrics.p95,
    )


def run(*, profile: str = "prasertkit", seed: int = 1):
    """Measure a simulation for each number of routers.

    :param profile: prasertkit or kowhai
    :param seed: seed of the workload
    """
    rows = [measure(PROFILES_BY_NAME[profile], n, seed) for n in ROUTER_COUNTS]
    for row in rows:
        print(
            f"{row.routers:3} routers: {row.messages:.1f} messages/s, "
            f"{row.sent_bytes:.0f} bytes sent/s each; hit rate {row.hit_rate:.3f}, "
            f"p95 {row.p95:.0f} ms",
            file=sys.stderr,
        )
    print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    defopt.run(run)
