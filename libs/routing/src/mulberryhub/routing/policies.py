"""Policies by name."""

from random import Random

from mulberryhub.config.inventory import Rules
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision
from mulberryhub.routing.usage import same_weight

ORDER_LENGTH = 8  # engines


def make_policy(name, clock, seed=0, rules=Rules, weight_of=same_weight):
    """Return the policy `name` with state of its own; KeyError if there is none.

    `rules()` returns the Rules in force, `weight_of(workspace)` the weight of a
    workspace in its use of engines.
    """
    if name == "cost":
        return make_cost_policy(clock, rules, weight_of)
    make_rank = RANKS_BY_NAME[name]
    state = PolicyState()
    return Policy(name, state, make_rank(state, Random(seed)), clock)


def policy_names():
    """Return the names of all policies."""
    return sorted([*RANKS_BY_NAME, "cost"])


def rendezvous_rank(state, random):
    """Rank by rendezvous hashing of the longest part that may be shared."""

    def rank(request, engines, now):
        placement = state.placements.of(engines)
        order = placement.order(request.placement_digest(), ORDER_LENGTH)
        return Decision(request, [engine.id for engine in order])

    return rank


def random_rank(state, random):
    """Rank in random order."""

    def rank(request, engines, now):
        count = min(ORDER_LENGTH, len(engines))
        return Decision(request, [e.id for e in random.sample(engines, count)])

    return rank


def round_robin_rank(state, random):
    """Rank in turn, starting anywhere."""
    turn = random.randrange(1 << 30)

    def rank(request, engines, now):
        nonlocal turn
        turn += 1
        count = min(ORDER_LENGTH, len(engines))
        order = [engines[(turn + i) % len(engines)].id for i in range(count)]
        return Decision(request, order)

    return rank


def least_reported_rank(state, random):
    """Rank by the load that engines have reported."""

    def rank(request, engines, now):
        def load_of(engine):
            load = state.loads.get(engine.id)
            return load.reported_tokens, load.reported_running

        order = sorted(engines, key=load_of)[:ORDER_LENGTH]
        return Decision(request, [engine.id for engine in order])

    return rank


def two_choices_rank(state, random):
    """Rank the less loaded of two random engines first, by own and reported load."""

    def rank(request, engines, now):
        def load_of(engine):
            load = state.loads.get(engine.id)
            return load.own_tokens + load.reported_tokens, load.own_running

        sample = random.sample(engines, min(ORDER_LENGTH, len(engines)))
        order = sorted(sample[:2], key=load_of) + sample[2:]
        return Decision(request, [engine.id for engine in order])

    return rank


RANKS_BY_NAME = {
    "least_reported": least_reported_rank,
    "random": random_rank,
    "rendezvous": rendezvous_rank,
    "prefix_hash": rendezvous_rank,
    "round_robin": round_robin_rank,
    "two_choices": two_choices_rank,
}
