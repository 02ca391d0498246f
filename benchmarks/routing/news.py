"""Measures the bytes of routing updates by the number of routers.

Run `python -m benchmarks.routing.news`. Bytes are of encoded messages without the
headers of calls.
"""

import sys

import defopt
import msgspec

from benchmarks.routing.measures import figures_of
from benchmarks.routing.model import Model
from benchmarks.routing.profiles import PROFILES_BY_NAME, make_calls
from mulberryhub.routing.exchange import UpdateMessage
from mulberryhub.routing.policies import make_policy

ROUTER_COUNTS = (3, 6, 9, 24)
DURATION = 30_000  # ms
WARM_UP = 10_000  # ms


class Row(msgspec.Struct):
    """Per router and second: messages sent and received, and their bytes."""

    routers: int
    messages: float
    sent_bytes: float
    hit_rate: float
    p95: float


class CountingModel(Model):
    """A model that adds up the updates exchanged."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.messages = 0
        self.bytes = 0

    def _apply_update(self, now, policy, peer, update):
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(UpdateMessage(peer, update)))
        super()._apply_update(now, policy, peer, update)


def measure(profile, routers, seed):
    """Return the Row for one number of routers."""

    def make(model, number):
        return make_policy("cost", model.clock, seed, lambda: profile.rules)

    model = CountingModel(profile, make, seed, routers=routers)
    results = model.run(make_calls(profile, seed, DURATION))
    figures = figures_of(results, model, (WARM_UP, DURATION))
    seconds = model.clock.time / 1_000
    return Row(
        routers,
        2 * model.messages / routers / seconds,
        model.bytes / routers / seconds,
        figures.hit_rate,
        figures.p95,
    )


def run(*, profile: str = "prasertkit", seed: int = 1):
    """Measure all numbers of routers.

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
