"""A policy that sees the true caches and queues of the model's engines."""

from benchmarks.routing.engines import PREFILL_COST
from mulberryhub.routing.cost import HOME_ENGINE_COUNT, REPLICATION_COST_SHARE
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision


def make_bound(model, profile, home_engine_count=HOME_ENGINE_COUNT):
    """Return the policy that weighs engines by what is true at the time.

    It weighs the first `home_engine_count` engines in rendezvous order and all that
    hold the shared part of the prompt. To weigh all engines makes it fill the caches
    with copies and fall behind under load.
    """
    state = PolicyState()

    def rank(request, engines, now):
        shared_prefix_blocks = request.shared_prefix_blocks
        home = request.chain[
            shared_prefix_blocks[-2]
            if len(shared_prefix_blocks) > 2
            else shared_prefix_blocks[-1]
        ]
        order = state.placements.get(engines).rank(home, home_engine_count)
        shared = request.cumulative_tokens[shared_prefix_blocks[-1]]

        def cost(engine):
            prefill = PREFILL_COST * engine.missing(request)
            total = profile.rules.latency_weight * (engine.wait(now) + prefill)
            total += profile.rules.recomputation_weight * prefill
            if engine is not order[0]:
                total += REPLICATION_COST_SHARE * PREFILL_COST * request.tokens
            return total

        holders = [e for e in engines if e.cached(request) >= shared]
        weighed = [*order, *(e for e in holders if e not in order)]
        return Decision(request, [engine.id for engine in sorted(weighed, key=cost)])

    return Policy("bound", state, rank, model.clock)
