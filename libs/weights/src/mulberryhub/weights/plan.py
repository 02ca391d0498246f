"""Selects the upstreams that load new weights next.

A pool of upstreams keeps serving requests during a rollout. At most MAX_LOADING_SHARE
of it loads at the same time, and fewer the busier the others are: none while their work
alone delays requests beyond the latency target. Loads are spread over
data centres, and the least busy upstreams load first, so that the rest can carry the
traffic until the first ones return with the newest weights. When the time limit for new
weights is near, loads start whatever the traffic.
"""

from collections import Counter

from mulberryhub.fleet.records import UpstreamState

MAX_LOADING_SHARE = 0.4  # of the upstreams of a pool
LOW_MEAN_WORK_MS = 40  # work of a serving upstream up to which the whole share loads
# Of routes, where there is no configuration.
DEFAULT_LATENCY_TARGET_MS = 250
EXPECTED_LOAD_TIME_MS = 2_000  # from the choice of an upstream to its return
DEADLINE_MARGIN_MS = 1_000  # before the time limit for new weights
MAX_PREFILL_SHARE = 0.7  # of the time of serving upstreams


class OutdatedUpstream:
    """An upstream and a model of which it lacks the newest version.

    `version` is the newest version. `age` is the time in ms since a version newer than
    the one on the upstream was announced.
    """

    __slots__ = ("upstream", "model", "version", "age")

    def __init__(self, upstream, model, version, age):
        self.upstream = upstream
        self.model = model
        self.version = version
        self.age = age


class UpstreamPool:
    """The usable upstreams of one service at one point in time.

    `size` counts the upstreams, including those in `loading`. `mean_work` is the mean
    work in flight in ms at those that serve requests, `demand` the engine time in ms
    that clients ask for per second, `latency_target` the shortest of the routes in ms,
    and `version_time` the time limit in ms for new weights to be loaded everywhere.
    """

    __slots__ = (
        "size",
        "loading",
        "mean_work",
        "demand",
        "latency_target",
        "version_time",
    )

    def __init__(self, size, loading, mean_work, demand, latency_target, version_time):
        self.size = size
        self.loading = loading
        self.mean_work = mean_work
        self.demand = demand
        self.latency_target = latency_target
        self.version_time = version_time


class PoolBuilder:
    """Builds an UpstreamPool from the known state of the fleet.

    `work(id)` returns the work in flight in ms at an upstream, `is_avoided(id)` whether
    it was unreachable lately, and `demand(service)` the engine time in ms that clients
    ask for per second.
    """

    __slots__ = ("_fleet_state", "_work", "_is_avoided", "_demand")

    def __init__(self, fleet_state, work, is_avoided, demand):
        self._fleet_state = fleet_state
        self._work = work
        self._is_avoided = is_avoided
        self._demand = demand

    def pool(self, service, loading_by_id, version_time):
        """Return the UpstreamPool of `service`.

        `loading_by_id` are the upstreams that load at present, of all services;
        `version_time` is the time limit in ms for new weights.
        """
        serving = [
            upstream
            for upstream in self._fleet_state.upstreams_by_id.values()
            if upstream.service == service
            and upstream.state is UpstreamState.READY
            and upstream.id not in loading_by_id
            and not self._is_avoided(upstream.id)
        ]
        loading = [item for item in loading_by_id.values() if item.service == service]
        work = sum(self._work(item.id) for item in serving)
        return UpstreamPool(
            len(serving) + len(loading),
            loading,
            work / max(1, len(serving)),
            self._demand(service),
            self._latency_target(service),
            version_time,
        )

    def _latency_target(self, service):
        """Return the shortest latency target in ms of the routes to `service`."""
        configuration = self._fleet_state.configuration
        routes = () if configuration is None else configuration.routes
        latency_targets = (
            route.target_latency
            for route in routes
            if any(target.service == service for target in route.targets)
        )
        return min(latency_targets, default=DEFAULT_LATENCY_TARGET_MS)


def find_outdated(fleet_state):
    """Return an OutdatedUpstream for each ready upstream that lacks new weights.

    Upstreams that are about to leave are left out. An upstream that lacks the newest
    version of several models is listed for the first of them.
    """
    outdated = []
    for upstream in fleet_state.upstreams_by_id.values():
        if upstream.state is not UpstreamState.READY or fleet_state.is_shutting_down(
            upstream
        ):
            continue
        for model in upstream.versions_by_model:
            newest = fleet_state.named_weights.newest(model)
            version = fleet_state.version_at(upstream.id, model)
            if version < newest:
                age = fleet_state.named_weights.time_since_superseded(model, version)
                outdated.append(OutdatedUpstream(upstream, model, newest, age))
                break
    return outdated


def max_concurrent_loads(pool, waiting):
    """Return how many upstreams of `pool` may load at the same time.

    `waiting` are the OutdatedUpstreams that are not loading yet.
    """
    share = max(1, int(pool.size * MAX_LOADING_SHARE))
    age = max((item.age for item in waiting), default=0)
    time_left = pool.version_time - DEADLINE_MARGIN_MS - age
    rounds_left = max(1, time_left // EXPECTED_LOAD_TIME_MS)
    needed = min(share, -(-len(waiting) // rounds_left))
    if time_left <= 0:
        return share
    allowed = int(share * _headroom(pool))
    allowed = min(allowed, max(1, _spare_upstream_count(pool)))
    if time_left < len(waiting) * EXPECTED_LOAD_TIME_MS:
        allowed = max(allowed, needed)
    return allowed


def _headroom(pool):
    """Return the share of loads that the work in flight allows, from 0 to 1."""
    work_left = pool.latency_target - pool.mean_work
    work_range = max(1, pool.latency_target - LOW_MEAN_WORK_MS)
    return min(1, max(0, work_left / work_range))


def _spare_upstream_count(pool):
    """Return how many upstreams are not needed to serve the demand of clients."""
    needed = pool.demand / (1000 * MAX_PREFILL_SHARE)
    return int(pool.size - needed)


def choose_next_loads(outdated, pool, work):
    """Return the items of `outdated` that are to start loading now.

    All items belong to `pool`. `work(id)` returns the work in flight in ms at an
    upstream.
    """
    loads_by_data_centre = Counter(upstream.data_centre for upstream in pool.loading)
    loading_ids = {upstream.id for upstream in pool.loading}
    waiting = [item for item in outdated if item.upstream.id not in loading_ids]
    free_count = max_concurrent_loads(pool, waiting) - len(pool.loading)
    chosen = []
    while free_count > len(chosen) and waiting:
        item = min(
            waiting,
            key=lambda item: (
                loads_by_data_centre[item.upstream.data_centre],
                work(item.upstream.id),
                item.upstream.id,
            ),
        )
        waiting.remove(item)
        chosen.append(item)
        loads_by_data_centre[item.upstream.data_centre] += 1
    return chosen
