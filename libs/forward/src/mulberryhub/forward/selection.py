"""Selects the upstream of a request by expected cost in ms of delay.

With many long prompts that share parts, the cache of one engine holds only a few of
the parts. Requests with the same shared parts therefore go to the same upstream from
all data centres, unless it is much busier than the next one or the transfer costs
more. Where the router's data centre has a KV cache store, its own upstreams come first.
Upstreams with the newest weights are preferred while they have capacity.
"""

from math import inf
from random import random

from mulberryhub.fleet.records import UpstreamState
from mulberryhub.forward.part_places import PartPlaces, spread_costs
from mulberryhub.forward.speed_costs import no_processing_cost, rank_by_placement
from mulberryhub.forward.stream_versions import accept_all

UNREACHABLE_COST_MS = 10_000  # at an upstream that could not be reached recently
# Cost at an upstream that cut an answer recently, which is less than a long queue.
CUT_ANSWER_COST_MS = 1_200
OLD_WEIGHTS_COST_SHARE = 0.2  # of the latency target, if newer weights are in use
UNKNOWN_AGE_TIME_MS = 2_000  # of use of weights that were replaced an unknown time ago


class Choice:
    """The selected upstream and the delay in ms expected there.

    `version` is the version of its weights, None for services without models. `holder`
    is another upstream that most likely holds the shared parts in the same version, or
    None.
    """

    __slots__ = ("upstream", "delay", "version", "holder")

    def __init__(self, upstream, delay, version=None, holder=None):
        self.upstream = upstream
        self.delay = delay
        self.version = version
        self.holder = holder


class UpstreamSelector:
    """Selects upstreams among those that `fleet_state` lists.

    `expected_delay(upstream, service)` returns the delay in ms that a request is
    expected to have, `transfer_cost(call, upstream)` the cost in ms of its transfer.
    `processing_cost(call, service)` returns the function that returns the cost in ms of
    its processing at an upstream, beside that at an upstream of the usual speed.
    `rank_homes(placement, digest, count, service)` returns the `count` best candidates
    of a Placement to cache the parts with `digest`.
    `spread_cost(upstream, service)` returns a random cost in ms where many routers may
    choose the same upstream at once.
    `availability` tracks the upstreams that announced a pause or their shutdown.
    `connect_health` tracks those that could not be reached, `answer_health` those that
    were reached and cut an answer. `version_time` is the time in ms for which weights
    may be used after newer ones were announced. `locality` decides on the data centre,
    none of which is preferred if it is None; `stored_parts` is the StoredParts of the
    KV cache store there, None without a `locality`.
    """

    __slots__ = (
        "_fleet_state",
        "_expected_delay",
        "_transfer_cost",
        "_connect_health",
        "_answer_health",
        "_availability",
        "_version_time",
        "_processing_cost",
        "_spread_cost",
        "_ready_by_service",
        "_revision",
        "_locality",
        "_part_places",
    )

    def __init__(
        self,
        fleet_state,
        expected_delay,
        transfer_cost,
        connect_health,
        answer_health,
        availability,
        version_time,
        locality=None,
        stored_parts=None,
        processing_cost=no_processing_cost,
        rank_homes=rank_by_placement,
        spread_cost=lambda upstream, service: 0,
    ):
        self._fleet_state = fleet_state
        self._expected_delay = expected_delay
        self._transfer_cost = transfer_cost
        self._connect_health = connect_health
        self._answer_health = answer_health
        self._availability = availability
        self._version_time = version_time
        self._processing_cost = processing_cost
        self._spread_cost = spread_cost
        self._ready_by_service = {}
        self._revision = None
        self._locality = locality
        self._part_places = PartPlaces(stored_parts, rank_homes)

    def choose(
        self,
        call,
        route,
        service,
        tried_ids,
        flow,
        accepts=accept_all,
        workspace=None,
    ):
        """Return a Choice among upstreams not in `tried_ids`, or None.

        `flow` is the Flow of the request, `workspace` the Workspace that sent it;
        `accepts(upstream)` returns whether an upstream may serve it.
        """
        ready = [
            item
            for item in self._ready_upstreams(service.name)
            if item.id not in tried_ids
            and accepts(item)
            and self._availability.accepts_requests(item, flow)
        ]
        if not ready:
            return None
        is_first = not tried_ids
        if call.model is None or not service.models:
            return self._choose_plain(call, route, service, ready, is_first)
        return self._choose_engine(call, route, service, ready, workspace, is_first)

    def is_limited(self, service):
        """Return whether an upstream of `service` limits the requests it accepts."""
        return self._availability.is_limited(self._ready_upstreams(service.name))

    def has_ready(self, service, accepts):
        """Return whether `accepts` returns true for a ready upstream of `service`."""
        return any(accepts(item) for item in self._ready_upstreams(service.name))

    def time_until_open(self, service, flow, accepts=accept_all):
        """Return the time in ms until `service` accepts requests of `flow`.

        Only upstreams that `accepts` returns true for count. Return None if all of them
        are shutting down.
        """
        ready = [item for item in self._ready_upstreams(service.name) if accepts(item)]
        return self._availability.time_until_open(ready, flow)

    def _choose_plain(self, call, route, service, ready, is_first):
        region = self._region(call, route, service, ready, is_first)
        if region is None:
            spread = {item.id: 0 for item in ready}
        else:
            ready = [i for i in ready if i.data_centre == region.data_centre]
            spread = spread_costs(ready)
        costs = self._costs(call, service, ready, spread)
        upstream = min(ready, key=lambda item: costs[item.id])
        return Choice(upstream, self._expected_delay(upstream, service))

    def _choose_engine(self, call, route, service, ready, workspace, is_first):
        loading = self._fleet_state.loading_ids()
        candidates = [item for item in ready if item.id not in loading] or ready
        model = call.model
        versions = {
            item.id: self._fleet_state.version_at(item.id, model) for item in candidates
        }
        newest = max(versions.values())
        allowed = [
            item
            for item in candidates
            if self._may_begin(item, service, model, versions[item.id], newest)
        ]
        if not allowed:
            return None
        region = self._region(call, route, service, allowed, is_first)
        costs = {}
        for version in set(versions.values()):
            # Parts are cached for one version only, so each version has its own order.
            same_version = [item for item in candidates if versions[item.id] == version]
            miss_costs = self._part_places.miss_costs(
                call, service, workspace, version, same_version, region
            )
            costs |= self._costs(call, service, same_version, miss_costs)
        for id, version in versions.items():
            if version < newest and id in costs:
                costs[id] += OLD_WEIGHTS_COST_SHARE * route.target_latency
        upstream = min(allowed, key=lambda item: costs.get(item.id, inf))
        if region is not None:
            self._locality.record_choice(region, upstream)
        delay = self._expected_delay(upstream, service)
        version = versions[upstream.id]
        return Choice(upstream, delay, version)

    def _may_begin(self, upstream, service, model, version, newest):
        """Return whether a request sent now would begin on weights in time.

        `newest` is the newest version in use. Where none newer is in use, weights of
        unknown age are used for a short time only, in which other routers may tell
        their age and upstreams may load newer ones. Wall clocks may end that earlier.
        """
        named = self._fleet_state.named_weights
        age = named.time_since_superseded(model, version)
        if age is None:
            return True
        if age == inf and version == newest:
            if named.time_known_superseded(model, version) >= UNKNOWN_AGE_TIME_MS:
                return False
            age = named.longest_time_superseded(model, version)
        return age + self._expected_delay(upstream, service) < self._version_time

    def _region(self, call, route, service, upstreams, is_first):
        """Return the Region of a request that `upstreams` may serve, or None."""
        if self._locality is None:
            return None
        return self._locality.region(
            call,
            route,
            service,
            upstreams,
            lambda upstream: self._delay(upstream, service),
            lambda upstream: not self._connect_health.is_avoided(upstream.id),
            is_first,
        )

    def _costs(self, call, service, upstreams, miss_costs):
        """Return the expected cost in ms by the id of each upstream in `miss_costs`.

        `miss_costs` are the costs of shared parts that are not cached there.
        """
        processing_cost = self._processing_cost(call, service)
        return {
            upstream.id: self._delay(upstream, service)
            + random()
            + self._spread_cost(upstream, service)
            + processing_cost(upstream)
            + self._transfer_cost(call, upstream)
            + miss_costs[upstream.id]
            for upstream in upstreams
            if upstream.id in miss_costs
        }

    def _delay(self, upstream, service):
        """Return the expected delay in ms, and the cost of recent failures."""
        delay = self._expected_delay(upstream, service)
        if self._connect_health.is_avoided(upstream.id):
            delay += UNREACHABLE_COST_MS
        if self._answer_health.is_avoided(upstream.id):
            delay += CUT_ANSWER_COST_MS
        return delay

    def _ready_upstreams(self, service_name):
        if self._revision != self._fleet_state.revision:
            self._revision = self._fleet_state.revision
            self._ready_by_service = {}
            for upstream in self._fleet_state.upstreams_by_id.values():
                if upstream.state is UpstreamState.READY:
                    ready = self._ready_by_service.setdefault(upstream.service, [])
                    ready.append(upstream)
        return self._ready_by_service.get(service_name, ())
