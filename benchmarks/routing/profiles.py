"""Seeded workloads of both firms: nested prefixes, Zipf-hot, with a shifting hot set.

Times are in ms, rates in requests per second, sizes in tokens.
"""

from bisect import bisect
from itertools import accumulate
from random import Random

import msgspec

from mulberryhub.config.inventory import Rules

BLOCK = 2_000  # tokens
SHIFT_PERIOD = 30_000  # ms
BURST_PERIOD = 4_000  # ms
HOT_RATE = 80  # requests per second
HOT_TIME = 10_000  # ms


class Level(msgspec.Struct, frozen=True):
    """One level of nesting: variants below each parent, and the size of each."""

    variants: int
    blocks: int
    skew: float = 1.0


class Profile(msgspec.Struct, frozen=True):
    """The workload of one firm, with the engines that it runs on.

    `rate` is about 80% of what the engines carry under the upper bound.
    `short_share` of the requests stop at the first level.
    """

    engines: int
    rate: float
    shares: tuple[float, ...]
    levels: tuple[Level, ...]
    question: tuple[int, int]
    output_tokens: tuple[int, int]
    short_output_tokens: tuple[int, int]
    short_share: float
    cache_blocks: int
    rules: Rules
    burstiness: float


PROFILES_BY_NAME = {
    "prasertkit": Profile(
        engines=10,
        rate=50,
        shares=(0.35, 0.30, 0.20, 0.10, 0.05),
        levels=(Level(1, 2), Level(12, 4), Level(10, 2)),
        question=(50, 300),
        output_tokens=(20, 60),
        short_output_tokens=(20, 60),
        short_share=0.1,
        cache_blocks=100,
        rules=Rules(latency_weight=1.0, recomputation_weight=0.2),
        burstiness=0.5,
    ),
    "kowhai": Profile(
        engines=5,
        rate=8,
        shares=(0.40, 0.30, 0.15, 0.10, 0.05),
        levels=(Level(1, 1), Level(8, 2), Level(20, 10, 1.2)),
        question=(50, 300),
        output_tokens=(1, 5),
        short_output_tokens=(80, 160),
        short_share=0.3,
        cache_blocks=300,
        rules=Rules(latency_weight=0.5, recomputation_weight=1.0),
        burstiness=0.2,
    ),
}


class Call(msgspec.Struct, frozen=True):
    """One request of the workload: when, whose, and the parts of its prompt."""

    at: float
    workspace: int
    path: tuple[int, ...]
    question: int
    output_tokens: int


def make_calls(profile, seed, duration, load=1.0, noisy=None):
    """Return the calls of `duration` ms in order of time.

    The workspace `noisy` sends five times its rate. The hot set shifts by one
    every SHIFT_PERIOD.
    """
    random = Random(seed)
    calls = []
    for workspace, share in enumerate(profile.shares):
        factor = 5.0 if workspace == noisy else 1.0
        rate = profile.rate * share * load * factor / 1000
        calls.extend(_workspace_calls(profile, random, workspace, rate, duration))
    calls.sort(key=lambda call: call.at)
    return [_shifted(call, profile, int(call.at // SHIFT_PERIOD)) for call in calls]


def with_shift(calls, profile, at):
    """Return `calls` with another hot set from the time `at` on."""
    return [_shifted(call, profile, 5) if call.at >= at else call for call in calls]


def with_hot_prefix(calls, profile, at, seed):
    """Return `calls` and a burst on the shared part of the first workspace."""
    random = Random(seed)
    end = at + HOT_TIME
    extra = []
    while at < end:
        at += random.expovariate(HOT_RATE / 1000)
        question = random.randint(*profile.question)
        extra.append(Call(at, 0, (0,), question, profile.output_tokens[0]))
    return sorted([*calls, *extra], key=lambda call: call.at)


def _workspace_calls(profile, random, workspace, rate, duration):
    weights = [_zipf(level) for level in profile.levels]
    peak = rate * (1 + profile.burstiness)
    at = random.expovariate(peak)
    while at < duration:
        wave = 1 if (at // BURST_PERIOD + workspace) % 2 else -1
        if random.random() * peak <= rate * (1 + profile.burstiness * wave):
            yield _call(profile, random, workspace, weights, at)
        at += random.expovariate(peak)


def _call(profile, random, workspace, weights, at):
    is_short = random.random() < profile.short_share
    depth = 1 if is_short else len(weights)
    path = tuple(bisect(weights[i], random.random()) for i in range(depth))
    outputs = profile.short_output_tokens if is_short else profile.output_tokens
    question = random.randint(*profile.question)
    return Call(at, workspace, path, question, random.randint(*outputs))


def _shifted(call, profile, shift):
    """Return the call with its variants moved on by `shift`."""
    path = [
        (variant + shift) % level.variants
        for variant, level in zip(call.path, profile.levels)
    ]
    return msgspec.structs.replace(call, path=tuple(path))


def _zipf(level):
    weights = [1 / (rank + 1) ** level.skew for rank in range(level.variants)]
    total = sum(weights)
    return [weight / total for weight in accumulate(weights)][:-1]
