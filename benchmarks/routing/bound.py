"""A policy that sees the true caches and queues of the model's engines."""

from benchmarks.routing.engines import PREFILL_COST
from mulberryhub.routing.cost import AWAY_SHARE, HOME_ENGINES
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision


def make_bound(model, profile, home_engines=HOME_ENGINES):
    """Return the policy that weighs engines by what is true at the time.

    It weighs the first `home_engines` in rendezvous order and all that hold the
    shared part of the prompt. To weigh all engines makes it fill the caches with
    copies and fall behind under load.
    """
    state = PolicyState()

    def rank(request, engines, now):
        levels = request.levels
        home = request.chain[levels[-2] if len(levels) > 2 else levels[-1]]
        order = state.placements.of(engines).order(home, home_engines)
        shared = request.ends[levels[-1]]

        def cost(engine):
            prefill = PREFILL_COST * engine.missing(request)
            total = profile.rules.latency_weight * (engine.wait(now) + prefill)
            total += profile.rules.recomputation_weight * prefill
            if engine is not order[0]:
                total += AWAY_SHARE * PREFILL_COST * request.tokens
            return total

        holders = [e for e in engines if e.cached(request) >= shared]
        weighed = [*order, *(e for e in holders if e not in order)]
        return Decision(request, [engine.id for engine in sorted(weighed, key=cost)])

    return Policy("bound", state, rank, model.clock)
