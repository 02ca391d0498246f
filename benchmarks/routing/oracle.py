"""An oracle policy, used as the upper bound that other policies are compared with."""

from benchmarks.routing.engines import PREFILL_MS_PER_TOKEN
from mulberryhub.routing.cost import HOME_ENGINE_COUNT, REPLICATION_COST_SHARE
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision


def make_oracle_policy(simulation, profile, home_engine_count=HOME_ENGINE_COUNT):
    """Return a policy that reads the actual caches and queues of the engines.

    It evaluates the first `home_engine_count` engines in rendezvous order and all
    engines that have the longest shareable prefix in their cache. Evaluating every
    engine fills the caches with copies and performs worse under load.
    """
    state = PolicyState()

    def rank(request, engines, now):
        shared_prefix_blocks = request.shared_prefix_blocks
        placement_digest = request.chain[
            shared_prefix_blocks[-2]
            if len(shared_prefix_blocks) > 2
            else shared_prefix_blocks[-1]
        ]
        home_engines = state.placements.get(engines).rank(
            placement_digest, home_engine_count
        )
        shared_prefix_tokens = request.cumulative_tokens[shared_prefix_blocks[-1]]

        def cost(engine):
            prefill = PREFILL_MS_PER_TOKEN * engine.uncached_tokens(request)
            total = profile.rules.latency_weight * (
                engine.queue_delay_ms(now) + prefill
            )
            total += profile.rules.recomputation_weight * prefill
            if engine is not home_engines[0]:
                total += REPLICATION_COST_SHARE * PREFILL_MS_PER_TOKEN * request.tokens
            return total

        holders = [
            e for e in engines if e.cached_tokens(request) >= shared_prefix_tokens
        ]
        candidates = [*home_engines, *(e for e in holders if e not in home_engines)]
        return Decision(request, [engine.id for engine in sorted(candidates, key=cost)])

    return Policy("bound", state, rank, simulation.clock)
