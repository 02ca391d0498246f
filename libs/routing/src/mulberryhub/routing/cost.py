"""The cost policy: expected time to first token and tokens recomputed, weighed."""

from collections import deque
from itertools import islice

import msgspec

from mulberryhub.routing.knowledge import Knowledge, Retention
from mulberryhub.routing.news import RoutingNews, Sighting
from mulberryhub.routing.policy import Policy, PolicyState
from mulberryhub.routing.request import Decision
from mulberryhub.routing.usage import Usage, same_weight

HOME_ENGINES = 2
ORDER_LENGTH = 8  # engines
AWAY_SHARE = 0.25  # of the prefill of the whole prompt
SIGHTINGS_KEPT = 128
PEERS_KEPT = 64
DIGEST_BYTES = 8


class Elements(msgspec.Struct, frozen=True):
    """Parts of the policy, each of which can be left out to measure it.

    `levels`: place by the last but one level, so that its parts stay together.
    `sightings`: expect prefixes where they were seen.
    `presumption`: expect a prefix where a request for it was just sent.
    `away_cost`: count a copy on another than the first engine as recomputation.
    `peer_load` and `peer_sightings`: use what peers tell.
    `reports`: use the load that engines report.
    `priorities`: let workspaces beyond their share wait for the others.
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
    """What the cost policy keeps besides loads."""

    __slots__ = (
        "knowledge",
        "retention",
        "rules",
        "elements",
        "usage",
        "_sightings",
        "_sighted",
        "_told_by_peer",
    )

    def __init__(self, rules, elements, usage):
        super().__init__()
        self.knowledge = Knowledge()
        self.retention = Retention()
        self.rules = rules
        self.elements = elements
        self.usage = usage
        self._sightings = deque(maxlen=SIGHTINGS_KEPT)
        self._sighted = 0
        self._told_by_peer = {}

    def sighted(self, sighting):
        """Keep `sighting` for the peers."""
        self._sightings.append(sighting)
        self._sighted += 1

    def sightings_for(self, peer):
        """Return the sightings that `peer` was not told of."""
        told = self._told_by_peer.pop(peer, 0)
        count = min(self._sighted - told, len(self._sightings))
        self._told_by_peer[peer] = self._sighted
        if len(self._told_by_peer) > PEERS_KEPT:
            del self._told_by_peer[next(iter(self._told_by_peer))]
        start = len(self._sightings) - count
        return list(islice(self._sightings, start, None))


class CostPolicy(Policy):
    """A policy that learns from answers and from peers what engines hold."""

    __slots__ = ()

    def started(self, decision, engine_id):
        """Note that the request was sent; its prefix is presumed to get there."""
        super().started(decision, engine_id)
        request = decision.request
        self.state.usage.add(request.scope.workspace, request.tokens)
        if self.state.elements.presumption:
            self._record(engine_id, level_digests(request))

    def answered(self, decision, engine_id, cached_tokens, first_token_time):
        """Note the first token and what the engine had cached."""
        super().answered(decision, engine_id, cached_tokens, first_token_time)
        request = decision.request
        sightings = decision.sightings_by_id.get(engine_id, ())
        for index, sighting in zip(request.levels, sightings):
            was_held = cached_tokens >= request.ends[index]
            self.state.retention.learn(sighting, was_held)
        digests = level_digests(request)
        self._record(engine_id, digests)
        self.state.sighted(Sighting(engine_id, digests))

    def forgotten(self, engine_id):
        """Drop the reports and sightings of an incarnation that is gone."""
        super().forgotten(engine_id)
        self.state.knowledge.forget_engine(engine_id)

    def news(self, peer):
        """Return work outstanding now and the sightings that `peer` has not had."""
        outstanding = self.state.loads.outstanding()
        return RoutingNews(outstanding, self.state.sightings_for(peer))

    def heard(self, peer, news):
        """Take in the RoutingNews of the router named `peer`."""
        outstanding = news.outstanding_by_engine
        self.state.loads.heard(peer, outstanding, self._clock.now())
        if self.state.elements.peer_sightings:
            for sighting in news.sightings:
                self._record(sighting.engine_id, sighting.digests)

    def _record(self, engine_id, digests):
        now = self._clock.now()
        for digest in digests:
            self.state.knowledge.record(digest, engine_id, now)


def make_cost_policy(clock, rules, weight_of=same_weight, elements=Elements()):  # noqa: B008
    """Return a cost policy with state of its own.

    `rules()` returns the Rules and `weight_of(workspace)` the weight of a workspace
    in its use of engines, such as its rate.
    """
    state = CostState(rules, elements, Usage(clock, weight_of))
    return CostPolicy("cost", state, cost_rank(state), clock)


def cost_rank(state):
    """Return the ranking function over `state`."""

    def rank(request, engines, now):
        placement = state.placements.of(engines)
        order = placed_order(state, placement, request)
        decision = Decision(request, [])
        candidates = {engine.id: engine for engine in order[:HOME_ENGINES]}
        for engine in seen_holders(state, placement, request):
            candidates.setdefault(engine.id, engine)
        cost_by_id = {
            engine.id: engine_cost(state, decision, order, engine, now)
            for engine in candidates.values()
        }
        decision.order = sorted(cost_by_id, key=cost_by_id.get)
        decision.order.extend(e.id for e in order if e.id not in cost_by_id)
        decision.cost_by_id = cost_by_id
        decision.first_token_time = first_token_time(state, decision, candidates, now)
        if state.elements.priorities:
            workspace = request.scope.workspace
            decision.priority = state.usage.priority(workspace, request.tokens)
        return decision

    return rank


def first_token_time(state, decision, candidates, now):
    """Return the expected time in ms to the first token on the first engine."""
    engine = candidates[decision.order[0]]
    prefill = decision.missing(engine.id) * engine.prefill_cost
    return expected_wait(state, engine, now) + prefill


def level_digests(request):
    """Return the short digests of the levels of `request`."""
    return [request.chain[index][:DIGEST_BYTES] for index in request.levels]


def placed_order(state, placement, request):
    """Return engines in rendezvous order for the part that is kept together."""
    levels = request.levels
    if state.elements.levels and len(levels) > 2:
        return placement.order(request.chain[levels[-2]], ORDER_LENGTH)
    return placement.order(request.placement_digest(), ORDER_LENGTH)


def seen_holders(state, placement, request):
    """Return the engines on which the longest level of `request` was seen."""
    if not state.elements.sightings:
        return []
    digest = request.placement_digest()[:DIGEST_BYTES]
    engines_by_id = placement.engines_by_id
    seen = state.knowledge.seen_by_engine(digest)
    return [engines_by_id[key] for key in seen if key in engines_by_id]


def engine_cost(state, decision, order, engine, now):
    """Return the weighed cost of `engine` in ms; `decision` gets what it is from."""
    request = decision.request
    is_first = engine is order[0]
    missing = expected_missing(state, decision, is_first, engine, now)
    prefill = missing * engine.prefill_cost
    wait = expected_wait(state, engine, now)
    rules = state.rules()
    total = rules.latency_weight * (wait + prefill)
    total += rules.recomputation_weight * prefill
    if state.elements.away_cost and not is_first:
        total += AWAY_SHARE * request.tokens * engine.prefill_cost
    return total


def expected_missing(state, decision, is_first, engine, now):
    """Return the tokens that `engine` is expected to compute."""
    request = decision.request
    retention = state.retention
    cached = 0
    sightings = []
    for index, digest in zip(request.levels, level_digests(request)):
        seen = None
        if state.elements.sightings:
            seen = state.knowledge.seen_by_engine(digest).get(engine.id)
        sighting = retention.sighting(is_first, None if seen is None else now - seen)
        sightings.append(sighting)
        cached = max(cached, retention.share(sighting) * request.ends[index])
    missing = request.tokens - int(cached)
    decision.missing_by_id[engine.id] = missing
    decision.sightings_by_id[engine.id] = sightings
    return missing


def expected_wait(state, engine, now):
    """Return the expected time in ms before `engine` starts on a new prompt."""
    load = state.loads.get(engine.id)
    tokens = load.own_tokens
    if state.elements.peer_load:
        tokens += state.loads.peer_tokens(engine.id, now)
    if state.elements.reports:
        tokens = max(tokens, load.discounted_tokens(now))
    return tokens * engine.prefill_cost
