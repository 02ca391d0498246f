"""Chooses the upstream of a request by expected cost in ms of delay.

Answers the load of many long prompts with shared parts: requests with the same shared
parts go to the same upstream of the data centre, as long as it is not much busier
than the next; newest weights first, as long as the upstreams that have them have room.
"""

from random import random

from mulberryhub.fleet.records import State
from mulberryhub.routing.placement import Placement

FULL_COST = 300  # ms of delay that as many requests as slots cause
DEFAULT_SLOTS = 6
REMOTE_COST = 3  # ms for each KB of body that goes to another data centre
MISS_COST = 0.004  # ms for each shared token that is fetched or read again
AVOIDED_COST = 10_000  # ms
NEWEST_ROOM = 0.4  # of the slots with newest weights that may be taken before others
RANKED = 3  # upstreams that hold shared parts of the same prompt at most


class Choice:
    """An upstream and the version that its weights have, None for plain services."""

    __slots__ = ("upstream", "version")

    def __init__(self, upstream, version=None):
        self.upstream = upstream
        self.version = version


class Candidate:
    """An upstream with the name under which it is placed."""

    __slots__ = ("id", "upstream")

    def __init__(self, upstream):
        self.id = upstream.id
        self.upstream = upstream


class Placer:
    """Places requests on the upstreams that `beliefs` lists."""

    __slots__ = (
        "_beliefs",
        "_loads",
        "_health",
        "_data_centre",
        "_ready_by_service",
        "_revision",
        "_placements_by_ids",
    )

    def __init__(self, beliefs, loads, health, data_centre):
        self._beliefs = beliefs
        self._loads = loads
        self._health = health
        self._data_centre = data_centre
        self._ready_by_service = {}
        self._revision = None
        self._placements_by_ids = {}

    def choose(self, call, service, tried):
        """Return a Choice among upstreams whose id is not in `tried`, or None."""
        ready = [item for item in self._ready(service.name) if item.id not in tried]
        if not ready:
            return None
        if call.model is None or not service.models:
            return Choice(self._cheapest(call, ready))
        return self._choose_engine(call, service, ready)

    def is_full(self, service):
        """Tell whether half of the service's slots or more are taken."""
        ready = self._ready(service.name)
        slots = sum(_slots(item) for item in ready)
        running = sum(self._loads.running(item.id) for item in ready)
        return running * 2 >= slots

    def _choose_engine(self, call, service, ready):
        loading = self._beliefs.loading_ids()
        open_ = [item for item in ready if item.id not in loading] or ready
        model = call.model
        versions = {item.id: self._beliefs.version_at(item.id, model) for item in open_}
        newest = max(versions.values())
        current = [item for item in open_ if versions[item.id] == newest]
        if len(current) < len(open_) and not self._has_room(current):
            current = open_
        upstream = self._cheapest(call, current)
        return Choice(upstream, versions[upstream.id])

    def _has_room(self, upstreams):
        running = sum(self._loads.running(item.id) for item in upstreams)
        slots = sum(_slots(item) for item in upstreams)
        return running < NEWEST_ROOM * slots

    def _cheapest(self, call, upstreams):
        ranked = self._ranks(call, upstreams)
        shared_tokens = sum(part.tokens for part in call.shared_parts)
        body_kb = len(call.request.body) / 1024

        def cost(upstream):
            total = FULL_COST * self._loads.running(upstream.id) / _slots(upstream)
            if upstream.data_centre != self._data_centre:
                total += REMOTE_COST * body_kb
            total += MISS_COST * shared_tokens * ranked.get(upstream.id, RANKED)
            if self._health.is_avoided(upstream.id):
                total += AVOIDED_COST
            return total + random()

        return min(upstreams, key=cost)

    def _ranks(self, call, upstreams):
        """Return the ranks by id of the upstreams where the prompt is kept first."""
        shared = call.shared_parts
        if not shared:
            return {}
        local = [item for item in upstreams if item.data_centre == self._data_centre]
        placement = self._placement(local or upstreams)
        order = placement.order(shared[-1].id.encode(), RANKED)
        return {candidate.id: rank for rank, candidate in enumerate(order)}

    def _placement(self, upstreams):
        ids = tuple(item.id for item in upstreams)
        placement = self._placements_by_ids.get(ids)
        if placement is None:
            if len(self._placements_by_ids) > 64:
                self._placements_by_ids.clear()
            placement = Placement([Candidate(item) for item in upstreams])
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


def _slots(upstream):
    return upstream.slots or DEFAULT_SLOTS
