"""The cost policy: ranks engines by expected delay and recomputed prompt tokens."""

from collections import deque
from itertools import islice

import msgspec

from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.prefix_index import PrefixIndex, RetentionEstimator
from mulberryhub.routing.request import Decision
from mulberryhub.routing.update import PrefixSighting, RoutingUpdate
from mulberryhub.routing.usage import WorkspaceUsage, equal_weight

HOME_ENGINE_COUNT = 2
RANKED_ENGINE_COUNT = 8
REPLICATION_COST_SHARE = 0.25  # of the prefill time of the whole prompt
BUFFERED_SIGHTING_COUNT = 128
TRACKED_PEER_COUNT = 64
SHORT_DIGEST_BYTES = 8


class CostFeatures(msgspec.Struct, frozen=True):
    """Features of the cost policy that can be switched off to measure their effect.

    `levels`: place prompts by their second longest shareable prefix, so that all
    prompts that extend it go to the same engines.
    `sightings`: expect a prefix on the engines where it was seen.
    `presumption`: expect a prefix on an engine as soon as a request with it is sent.
    `away_cost`: add a cost for caching a prompt on an engine other than the first in
    rendezvous order.
    `peer_load` and `peer_sightings`: use the load and the sightings of peer routers.
    `reports`: use the load that engines report.
    `priorities`: lower the priority of workspaces that exceed their share.
    """

    levels: bool = True
    sightings: bool = True
    presumption: bool = True
    away_cost: bool = True
    peer_load: bool = True
    peer_sightings: bool = True
    reports: bool = True
    priorities: bool = True


class CostState(PolicyState):
    """State of the cost policy: prefix index, hit rates, usage, and sightings to send.

    Keeps the last BUFFERED_SIGHTING_COUNT sightings for peers, and how many sightings
    had been recorded when each of the last TRACKED_PEER_COUNT peers was sent some.
    """

    __slots__ = (
        "prefix_index",
        "retention",
        "rules",
        "features",
        "usage",
        "_sightings",
        "_sighting_count",
        "_sent_count_by_peer",
    )

    def __init__(self, rules, features, usage):
        super().__init__()
        self.prefix_index = PrefixIndex()
        self.retention = RetentionEstimator()
        self.rules = rules
        self.features = features
        self.usage = usage
        self._sightings = deque(maxlen=BUFFERED_SIGHTING_COUNT)
        self._sighting_count = 0
        self._sent_count_by_peer = {}

    def add_sighting(self, sighting):
        """Buffer `sighting` to be sent to peers."""
        self._sightings.append(sighting)
        self._sighting_count += 1

    def take_unsent_sightings(self, peer):
        """Return the buffered sightings new to `peer` and mark them as sent to it."""
        sent_count = self._sent_count_by_peer.pop(peer, 0)
        count = min(self._sighting_count - sent_count, len(self._sightings))
        self._sent_count_by_peer[peer] = self._sighting_count
        if len(self._sent_count_by_peer) > TRACKED_PEER_COUNT:
            del self._sent_count_by_peer[next(iter(self._sent_count_by_peer))]
        start = len(self._sightings) - count
        return list(islice(self._sightings, start, None))


class CostPolicy(Policy):
    """A policy that learns the cache contents of engines from answers and peers."""

    __slots__ = ()

    def record_sent(self, decision, engine_id):
        """Record that the request was sent and its prefixes are about to be cached."""
        super().record_sent(decision, engine_id)
        request = decision.request
        self.state.usage.add(request.scope.workspace, request.tokens)
        if self.state.features.presumption:
            self._record_prefixes(engine_id, shared_prefix_digests(request))

    def record_first_token(self, decision, engine_id, cached_tokens, first_token_time):
        """Record the first token and update the hit rates by `cached_tokens`."""
        super().record_first_token(decision, engine_id, cached_tokens, first_token_time)
        request = decision.request
        buckets = decision.retention_buckets_by_id.get(engine_id, ())
        for index, bucket in zip(request.shared_prefix_blocks, buckets):
            was_hit = cached_tokens >= request.cumulative_tokens[index]
            self.state.retention.update(bucket, was_hit)
        digests = shared_prefix_digests(request)
        self._record_prefixes(engine_id, digests)
        self.state.add_sighting(PrefixSighting(engine_id, digests))

    def discard_engine_state(self, engine_id):
        """Discard the reports and prefixes of an engine that has a new incarnation."""
        super().discard_engine_state(engine_id)
        self.state.prefix_index.remove_engine(engine_id)

    def update_for(self, peer):
        """Return the outstanding tokens and the sightings not yet sent to `peer`."""
        outstanding_tokens = self.state.loads.outstanding_tokens_by_engine()
        return RoutingUpdate(outstanding_tokens, self.state.take_unsent_sightings(peer))

    def apply_update(self, peer, update):
        """Apply the RoutingUpdate of the router named `peer`."""
        outstanding_tokens = update.outstanding_tokens_by_engine
        self.state.loads.set_peer_load(peer, outstanding_tokens, self._clock.now())
        if self.state.features.peer_sightings:
            for sighting in update.sightings:
                self._record_prefixes(sighting.engine_id, sighting.digests)

    def _record_prefixes(self, engine_id, digests):
        now = self._clock.now()
        for digest in digests:
            self.state.prefix_index.record(digest, engine_id, now)


def make_cost_policy(
    clock,
    rules,
    workspace_weight=equal_weight,
    features=CostFeatures(),  # noqa: B008
):
    """Return a new cost policy with state of its own.

    `rules()` returns the Rules in force and `workspace_weight(workspace)` the weight of
    a workspace in its share of engines, such as its rate limit.
    """
    state = CostState(rules, features, WorkspaceUsage(clock, workspace_weight))
    return CostPolicy("cost", state, make_cost_ranker(state), clock)


def make_cost_ranker(state):
    """Return the ranking function that reads `state`, a CostState.

    It evaluates the first HOME_ENGINE_COUNT engines in rendezvous order and all engines
    on which the longest shareable prefix was seen; the other engines follow in
    rendezvous order.
    """

    def rank(request, engines, now):
        placement = state.placements.get(engines)
        order = rendezvous_order(state, placement, request)
        decision = Decision(request, [])
        candidates = {engine.id: engine for engine in order[:HOME_ENGINE_COUNT]}
        for engine in prefix_holders(state, placement, request):
            candidates.setdefault(engine.id, engine)
        cost_by_id = {
            engine.id: engine_cost(state, decision, order, engine, now)
            for engine in candidates.values()
        }
        decision.ranked_engine_ids = sorted(cost_by_id, key=cost_by_id.get)
        decision.ranked_engine_ids.extend(e.id for e in order if e.id not in cost_by_id)
        decision.cost_by_id = cost_by_id
        decision.expected_first_token_time = expected_first_token_time(
            state, decision, candidates, now
        )
        if state.features.priorities:
            workspace = request.scope.workspace
            decision.priority = state.usage.priority(workspace, request.tokens)
        return decision

    return rank


def expected_first_token_time(state, decision, candidates, now):
    """Return the expected time in ms to the first token on the best engine."""
    engine = candidates[decision.ranked_engine_ids[0]]
    prefill_time = decision.uncached_tokens(engine.id) * engine.prefill_cost
    return expected_queue_time(state, engine, now) + prefill_time


def shared_prefix_digests(request):
    """Return the shortened digests of the shareable prefixes of `request`."""
    return [
        request.chain[index][:SHORT_DIGEST_BYTES]
        for index in request.shared_prefix_blocks
    ]


def rendezvous_order(state, placement, request):
    """Return the engines for `request` in rendezvous order, the best first.

    With more than two shareable prefixes the second longest decides, so that prompts
    which extend it go to the same engines.
    """
    shared_prefix_blocks = request.shared_prefix_blocks
    if state.features.levels and len(shared_prefix_blocks) > 2:
        return placement.rank(
            request.chain[shared_prefix_blocks[-2]], RANKED_ENGINE_COUNT
        )
    return placement.rank(request.placement_digest(), RANKED_ENGINE_COUNT)


def prefix_holders(state, placement, request):
    """Return the engines on which the longest shareable prefix was seen."""
    if not state.features.sightings:
        return []
    digest = request.placement_digest()[:SHORT_DIGEST_BYTES]
    engines_by_id = placement.engines_by_id
    last_seen = state.prefix_index.last_seen_by_engine(digest)
    return [engines_by_id[key] for key in last_seen if key in engines_by_id]


def engine_cost(state, decision, order, engine, now):
    """Return the weighted cost of `engine` in ms.

    The uncached tokens and retention buckets that it is based on are stored in
    `decision`. `order` are the engines in rendezvous order.
    """
    request = decision.request
    is_first = engine is order[0]
    uncached_tokens = expected_uncached_tokens(state, decision, is_first, engine, now)
    prefill_time = uncached_tokens * engine.prefill_cost
    queue_time = expected_queue_time(state, engine, now)
    rules = state.rules()
    total = rules.latency_weight * (queue_time + prefill_time)
    total += rules.recomputation_weight * prefill_time
    if state.features.away_cost and not is_first:
        total += REPLICATION_COST_SHARE * request.tokens * engine.prefill_cost
    return total


def expected_uncached_tokens(state, decision, is_first, engine, now):
    """Return the prompt tokens that `engine` is expected to compute.

    The result and the retention buckets used are stored in `decision`. `is_first`
    tells whether the engine is the first in rendezvous order.
    """
    request = decision.request
    retention = state.retention
    cached_tokens = 0
    buckets = []
    for index, digest in zip(
        request.shared_prefix_blocks, shared_prefix_digests(request)
    ):
        last_seen = None
        if state.features.sightings:
            last_seen = state.prefix_index.last_seen_by_engine(digest).get(engine.id)
        bucket = retention.bucket(
            is_first, None if last_seen is None else now - last_seen
        )
        buckets.append(bucket)
        cached_tokens = max(
            cached_tokens, retention.hit_rate(bucket) * request.cumulative_tokens[index]
        )
    uncached_tokens = request.tokens - int(cached_tokens)
    decision.uncached_tokens_by_id[engine.id] = uncached_tokens
    decision.retention_buckets_by_id[engine.id] = buckets
    return uncached_tokens


def expected_queue_time(state, engine, now):
    """Return the expected time in ms before `engine` starts a new prompt."""
    load = state.loads.get(engine.id)
    tokens = load.own_tokens
    if state.features.peer_load:
        tokens += state.loads.peer_tokens(engine.id, now)
    if state.features.reports:
        tokens = max(tokens, load.decayed_tokens(now))
    return tokens * engine.prefill_cost
