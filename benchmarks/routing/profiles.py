"""Generates the seeded workloads of two companies.

Prompts share nested prefixes whose popularity follows a Zipf distribution, and the
most popular prefixes change over time. Times are in ms, rates in requests per second
and sizes in tokens.
"""

from bisect import bisect
from itertools import accumulate
from random import Random

import msgspec

from mulberryhub.config.inventory import Rules

BLOCK = 2_000  # tokens
SHIFT_PERIOD_MS = 30_000
BURST_PERIOD_MS = 4_000
HOT_PREFIX_REQUESTS_PER_S = 80
HOT_PREFIX_DURATION_MS = 10_000


class Level(msgspec.Struct, frozen=True):
    """One level of nested prompt prefixes.

    Each prefix of the level above has `variants` continuations of `blocks` blocks
    each; `skew` is the exponent of the Zipf distribution over the variants.
    """

    variants: int
    blocks: int
    skew: float = 1.0


class Profile(msgspec.Struct, frozen=True):
    """The workload of one company and the engines that serve it.

    `request_rate` is about 80% of what the engines can serve with the policy that is
    the upper bound. `shares` are the shares of the workspaces in it. The ranges
    `question_tokens`, `output_tokens` and `short_output_tokens` are in tokens per
    request. `short_share` of the requests use the first level only. The rate
    alternates between `1 + burstiness` and `1 - burstiness` times its mean.
    """

    engines: int
    request_rate: float
    shares: tuple[float, ...]
    levels: tuple[Level, ...]
    question_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    short_output_tokens: tuple[int, int]
    short_share: float
    cache_blocks: int
    rules: Rules
    burstiness: float


PROFILES_BY_NAME = {
    "prasertkit": Profile(
        engines=10,
        request_rate=50,
        shares=(0.35, 0.30, 0.20, 0.10, 0.05),
        levels=(Level(1, 2), Level(12, 4), Level(10, 2)),
        question_tokens=(50, 300),
        output_tokens=(20, 60),
        short_output_tokens=(20, 60),
        short_share=0.1,
        cache_blocks=100,
        rules=Rules(latency_weight=1.0, recomputation_weight=0.2),
        burstiness=0.5,
    ),
    "kowhai": Profile(
        engines=5,
        request_rate=8,
        shares=(0.40, 0.30, 0.15, 0.10, 0.05),
        levels=(Level(1, 1), Level(8, 2), Level(20, 10, 1.2)),
        question_tokens=(50, 300),
        output_tokens=(1, 5),
        short_output_tokens=(80, 160),
        short_share=0.3,
        cache_blocks=300,
        rules=Rules(latency_weight=0.5, recomputation_weight=1.0),
        burstiness=0.2,
    ),
}


class Call(msgspec.Struct, frozen=True):
    """One request of the workload.

    `at` is its arrival in ms, `path` the variant at each prefix level and `question`
    the number of tokens after the shared prefix.
    """

    at: float
    workspace: int
    path: tuple[int, ...]
    question: int
    output_tokens: int


def make_calls(profile, seed, duration, load=1.0, noisy=None):
    """Return the calls of `duration` ms in order of arrival.

    `load` is a factor on the request rate, and the workspace `noisy` sends five times
    its rate. The most popular variants shift by one every SHIFT_PERIOD_MS.
    """
    random = Random(seed)
    calls = []
    for workspace, share in enumerate(profile.shares):
        factor = 5.0 if workspace == noisy else 1.0
        rate = profile.request_rate * share * load * factor / 1000
        calls.extend(_generate_calls(profile, random, workspace, rate, duration))
    calls.sort(key=lambda call: call.at)
    return [
        _shift_variants(call, profile, int(call.at // SHIFT_PERIOD_MS))
        for call in calls
    ]


def with_shift(calls, profile, at):
    """Return `calls` with other variants being the most popular from `at` ms on."""
    return [
        _shift_variants(call, profile, 5) if call.at >= at else call for call in calls
    ]


def with_hot_prefix(calls, profile, at, seed):
    """Return `calls` with a burst on the shared prefix of the first workspace.

    The burst starts at `at` ms and lasts HOT_PREFIX_DURATION_MS.
    """
    random = Random(seed)
    end = at + HOT_PREFIX_DURATION_MS
    burst = []
    while at < end:
        at += random.expovariate(HOT_PREFIX_REQUESTS_PER_S / 1000)
        question = random.randint(*profile.question_tokens)
        burst.append(Call(at, 0, (0,), question, profile.output_tokens[0]))
    return sorted([*calls, *burst], key=lambda call: call.at)


def _generate_calls(profile, random, workspace, rate, duration):
    cumulative_weights = [_cumulative_zipf_weights(level) for level in profile.levels]
    peak_rate = rate * (1 + profile.burstiness)
    at = random.expovariate(peak_rate)
    while at < duration:
        burst_sign = 1 if (at // BURST_PERIOD_MS + workspace) % 2 else -1
        if random.random() * peak_rate <= rate * (1 + profile.burstiness * burst_sign):
            yield _generate_call(profile, random, workspace, cumulative_weights, at)
        at += random.expovariate(peak_rate)


def _generate_call(profile, random, workspace, cumulative_weights, at):
    is_short = random.random() < profile.short_share
    depth = 1 if is_short else len(cumulative_weights)
    path = tuple(bisect(cumulative_weights[i], random.random()) for i in range(depth))
    output_range = profile.short_output_tokens if is_short else profile.output_tokens
    question = random.randint(*profile.question_tokens)
    return Call(at, workspace, path, question, random.randint(*output_range))


def _shift_variants(call, profile, shift):
    """Return the call with the variant at each level increased by `shift`."""
    path = [
        (variant + shift) % level.variants
        for variant, level in zip(call.path, profile.levels)
    ]
    return msgspec.structs.replace(call, path=tuple(path))


def _cumulative_zipf_weights(level):
    """Return the cumulative Zipf weights of all variants but the last, which is 1."""
    weights = [1 / (rank + 1) ** level.skew for rank in range(level.variants)]
    total = sum(weights)
    return [weight / total for weight in accumulate(weights)][:-1]
