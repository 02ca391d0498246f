"""Registry of the routing policies by name."""

from random import Random

from mulberryhub.config.inventory import Rules
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision
from mulberryhub.routing.usage import equal_weight

RANKED_ENGINE_COUNT = 8


def make_policy(name, clock, seed=0, rules=Rules, workspace_weight=equal_weight):
    """Return a new policy with state of its own; KeyError if `name` is unknown.

    `seed` seeds the policies that choose at random. `rules()` returns the Rules in
    force, `workspace_weight(workspace)` the weight of a workspace in its share of
    engines.
    """
    if name == "cost":
        return make_cost_policy(clock, rules, workspace_weight)
    make_ranker = RANKER_FACTORIES_BY_NAME[name]
    state = PolicyState()
    return Policy(name, state, make_ranker(state, Random(seed)), clock)


def policy_names():
    """Return the names of all policies in alphabetical order."""
    return sorted([*RANKER_FACTORIES_BY_NAME, "cost"])


def make_rendezvous_ranker(state, random):
    """Return a function that ranks by the hash of the longest shareable prefix."""

    def rank(request, engines, now):
        placement = state.placements.get(engines)
        order = placement.rank(request.placement_digest(), RANKED_ENGINE_COUNT)
        return Decision(request, [engine.id for engine in order])

    return rank


def make_random_ranker(state, random):
    """Return a function that ranks engines in random order."""

    def rank(request, engines, now):
        count = min(RANKED_ENGINE_COUNT, len(engines))
        return Decision(request, [e.id for e in random.sample(engines, count)])

    return rank


def make_round_robin_ranker(state, random):
    """Return a function that ranks engines in rotation from a random start."""
    turn = random.randrange(1 << 30)

    def rank(request, engines, now):
        nonlocal turn
        turn += 1
        count = min(RANKED_ENGINE_COUNT, len(engines))
        order = [engines[(turn + i) % len(engines)].id for i in range(count)]
        return Decision(request, order)

    return rank


def make_least_reported_ranker(state, random):
    """Return a function that ranks engines by their reported tokens, then requests."""

    def rank(request, engines, now):
        def load_of(engine):
            load = state.loads.get(engine.id)
            return load.reported_tokens, load.reported_request_count

        order = sorted(engines, key=load_of)[:RANKED_ENGINE_COUNT]
        return Decision(request, [engine.id for engine in order])

    return rank


def make_two_choices_ranker(state, random):
    """Return a function that ranks the less loaded of two random engines first.

    The load is the sum of own and reported tokens; own requests break ties.
    """

    def rank(request, engines, now):
        def load_of(engine):
            load = state.loads.get(engine.id)
            return load.own_tokens + load.reported_tokens, load.own_request_count

        sample = random.sample(engines, min(RANKED_ENGINE_COUNT, len(engines)))
        order = sorted(sample[:2], key=load_of) + sample[2:]
        return Decision(request, [engine.id for engine in order])

    return rank


RANKER_FACTORIES_BY_NAME = {
    "least_reported": make_least_reported_ranker,
    "random": make_random_ranker,
    "rendezvous": make_rendezvous_ranker,
    "prefix_hash": make_rendezvous_ranker,
    "round_robin": make_round_robin_ranker,
    "two_choices": make_two_choices_ranker,
}
