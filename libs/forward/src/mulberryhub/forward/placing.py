"""Chooses the upstream of a request by expected cost in ms of delay.

Answers the load of many long prompts with shared parts, which one engine's memory holds
few of: requests with the same shared parts go to the same upstream from all data
centres, as long as it is not much busier than the next and the way is worth it; newest
weights first, as long as the upstreams that have them have room.
"""

from math import inf
from random import random

from mulberryhub.fleet.records import State
from mulberryhub.routing.placement import Placement

REMOTE_COST = 6  # ms for each KB that goes to another data centre or comes from there
ANSWER_KB = 0.1  # KB of an answer for each token that it may have
MISS_COST = 0.06  # ms for each shared token that is read again: others wait for it too
AVOIDED_COST = 10_000  # ms at an upstream that could not be reached lately
UNSTEADY_COST = 1_200  # ms at one that cut an answer lately: less than a long queue
OLD_WEIGHTS_COST = 0.2  # of the latency target, where newer weights are in use
RANKED = 3  # upstreams that hold shared parts of the same prompt at most


class Choice:
    """An upstream, the ms of delay expected there, and the version of its weights.

    The version is None for plain services. `holder` is another upstream that most
    likely holds the shared parts in the same version, or None.
    """

    __slots__ = ("upstream", "delay", "version", "holder")

    def __init__(self, upstream, delay, version=None, holder=None):
        self.upstream = upstream
        self.delay = delay
        self.version = version
        self.holder = holder


class Candidate:
    """The name under which an upstream is placed."""

    __slots__ = ("id",)

    def __init__(self, id):
        self.id = id


class Placer:
    """Places requests on the upstreams that `beliefs` lists.

    `withdrawal` has those that asked for no more requests, `version_time` is the ms for
    which weights serve after newer ones were named.
    `health` has the upstreams that could not be reached, `steadiness` those that were
    reached and cut an answer.
    """

    __slots__ = (
        "_beliefs",
        "_loads",
        "_health",
        "_steadiness",
        "_withdrawal",
        "_data_centre",
        "_version_time",
        "_ready_by_service",
        "_revision",
        "_placements_by_ids",
    )

    def __init__(
        self,
        beliefs,
        loads,
        health,
        steadiness,
        withdrawal,
        data_centre,
        version_time,
    ):
        self._beliefs = beliefs
        self._loads = loads
        self._health = health
        self._steadiness = steadiness
        self._withdrawal = withdrawal
        self._data_centre = data_centre
        self._version_time = version_time
        self._ready_by_service = {}
        self._revision = None
        self._placements_by_ids = {}

    def choose(self, call, route, service, tried):
        """Return a Choice among upstreams whose id is not in `tried`, or None."""
        ready = [
            item
            for item in self._ready(service.name)
            if item.id not in tried and self._withdrawal.accepts_requests(item)
        ]
        if not ready:
            return None
        if call.model is None or not service.models:
            costs = self._costs(call, ready, [])
            upstream = min(ready, key=lambda item: costs[item.id])
            return Choice(upstream, self._loads.work(upstream.id))
        return self._choose_engine(call, route, ready)

    def time_until_open(self, service):
        """Return the ms until an upstream of `service` takes requests, or None."""
        return self._withdrawal.time_until_open(self._ready(service.name))

    def _choose_engine(self, call, route, ready):
        loading = self._beliefs.loading_ids()
        candidates = [item for item in ready if item.id not in loading] or ready
        model = call.model
        versions = {
            item.id: self._beliefs.version_at(item.id, model) for item in candidates
        }
        newest = max(versions.values())
        allowed = [
            item
            for item in candidates
            if versions[item.id] == newest
            or not self._is_expired(model, versions[item.id])
        ]
        if self._is_known_expired(model, newest):
            return None
        costs = {}
        for version in set(versions.values()):
            # Parts are kept for one version only, so each has an order of its own.
            same = [item for item in candidates if versions[item.id] == version]
            costs |= self._costs(call, same, self._ranked(call, same))
        for id, version in versions.items():
            if version < newest:
                costs[id] += OLD_WEIGHTS_COST * route.target_latency
        upstream = min(allowed, key=lambda item: costs[item.id])
        delay = self._loads.work(upstream.id)
        version = versions[upstream.id]
        return Choice(upstream, delay, version)

    def _is_expired(self, model, version):
        """Tell whether weights may no longer be used, as newer ones are in use."""
        age = self._beliefs.superseded_for(model, version)
        return age is not None and age >= self._version_time

    def _is_known_expired(self, model, version):
        """Tell whether weights may no longer be used though none newer are in use."""
        age = self._beliefs.superseded_for(model, version)
        return age is not None and self._version_time <= age < inf

    def _costs(self, call, upstreams, ranked):
        """Return the expected delay by the id of each upstream.

        `ranked` are those that hold the shared parts, the first most likely.
        """
        rank_by_id = {upstream.id: rank for rank, upstream in enumerate(ranked)}
        shared_tokens = sum(part.tokens for part in call.shared_parts)
        transfer_kb = len(call.request.body) / 1024
        transfer_kb += ANSWER_KB * (call.output_tokens or 0)
        costs = {}
        for upstream in upstreams:
            cost = self._loads.work(upstream.id) + random()
            if upstream.data_centre != self._data_centre:
                cost += REMOTE_COST * transfer_kb
            cost += MISS_COST * shared_tokens * rank_by_id.get(upstream.id, RANKED)
            if self._health.is_avoided(upstream.id):
                cost += AVOIDED_COST
            if self._steadiness.is_avoided(upstream.id):
                cost += UNSTEADY_COST
            costs[upstream.id] = cost
        return costs

    def _ranked(self, call, upstreams):
        """Return the upstreams where the prompt is kept, the first at rank 0.

        The order is the same at all routers.
        """
        shared = call.shared_parts
        if not shared:
            return []
        placement = self._placement(upstreams)
        order = placement.order(shared[-1].id.encode(), RANKED)
        by_id = {upstream.id: upstream for upstream in upstreams}
        return [by_id[candidate.id] for candidate in order]

    def _placement(self, upstreams):
        ids = tuple(item.id for item in upstreams)
        placement = self._placements_by_ids.get(ids)
        if placement is None:
            if len(self._placements_by_ids) > 64:
                self._placements_by_ids.clear()
            placement = Placement([Candidate(id) for id in ids])
            self._placements_by_ids[ids] = placement
        return placement

    def _ready(self, service_name):
        if self._revision != self._beliefs.revision:
            self._revision = self._beliefs.revision
            self._ready_by_service = {}
            for upstream in self._beliefs.upstreams_by_id.values():
                if upstream.state is State.READY:
                    ready = self._ready_by_service.setdefault(upstream.service, [])
                    ready.append(upstream)
        return self._ready_by_service.get(service_name, ())
