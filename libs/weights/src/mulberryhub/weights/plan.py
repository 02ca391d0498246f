"""Which upstreams load new weights next.

Answers the load of a pool that serves while it changes: at most a share of the pool
loads at once, and fewer the busier the rest is, spread over data centres, the least
busy first. So the rest carries the traffic until the first ones are back with the
newest weights. What must be done in time is done whatever the load.
"""

from collections import Counter

from mulberryhub.fleet.records import State

LOADING_SHARE = 0.4  # of a pool that may load at once
CALM = 40  # ms of work at each other upstream up to which the whole share loads
OVERLOADED = 250  # ms from which none is started
LOAD_TIME = 2_000  # ms from the choice of an upstream to its return
URGENT_MARGIN = 1_000  # ms before the bound
BUSY_SHARE = 0.7  # of the time for which those that serve may be busy reading prompts


class Outdated:
    """An upstream with a model whose newest version it lacks.

    `age` is the ms since a version newer than its own was named.
    """

    __slots__ = ("upstream", "model", "version", "age")

    def __init__(self, upstream, model, version, age):
        self.upstream = upstream
        self.model = model
        self.version = version
        self.age = age


class Pool:
    """The upstreams of one service that can be used, `size` with those that load.

    `busy` is the mean work of those that serve, `demand` the ms of engine time that
    clients ask for in a second, `version_time` the ms in which new weights are due.
    """

    __slots__ = ("size", "loading", "busy", "demand", "version_time")

    def __init__(self, size, loading, busy, demand, version_time):
        self.size = size
        self.loading = loading
        self.busy = busy
        self.demand = demand
        self.version_time = version_time


class PoolView:
    """Makes Pools of what is believed.

    `work(id)` is the work in flight at an upstream, `is_avoided(id)` tells whether it
    could not be reached lately, `demand(service)` is as in Pool.
    """

    __slots__ = ("_beliefs", "_work", "_is_avoided", "_demand")

    def __init__(self, beliefs, work, is_avoided, demand):
        self._beliefs = beliefs
        self._work = work
        self._is_avoided = is_avoided
        self._demand = demand

    def pool(self, service, loading_by_id, version_time):
        """Return the Pool of `service` while `loading_by_id` load."""
        serving = [
            upstream
            for upstream in self._beliefs.upstreams_by_id.values()
            if upstream.service == service
            and upstream.state is State.READY
            and upstream.id not in loading_by_id
            and not self._is_avoided(upstream.id)
        ]
        loading = [item for item in loading_by_id.values() if item.service == service]
        work = sum(self._work(item.id) for item in serving)
        return Pool(
            len(serving) + len(loading),
            loading,
            work / max(1, len(serving)),
            self._demand(service),
            version_time,
        )


def find_outdated(beliefs):
    """Return what lacks the newest named version, one item for each upstream."""
    items = []
    for upstream in beliefs.upstreams_by_id.values():
        if upstream.state is not State.READY or beliefs.is_departing(upstream):
            continue
        for model in upstream.versions_by_model:
            newest = beliefs.version_by_model.get(model, 0)
            version = beliefs.version_at(upstream.id, model)
            if version < newest:
                age = beliefs.superseded_for(model, version)
                items.append(Outdated(upstream, model, newest, age))
                break
    return items


def loads_at_once(pool, waiting):
    """Return how many upstreams may load at the same time.

    `waiting` are the items that do not load yet.
    """
    most = max(1, int(pool.size * LOADING_SHARE))
    age = max((item.age for item in waiting), default=0)
    left = pool.version_time - URGENT_MARGIN - age
    rounds = max(1, left // LOAD_TIME)
    needed = min(most, -(-len(waiting) // rounds))
    if left <= 0:
        return most
    headroom = (OVERLOADED - pool.busy) / (OVERLOADED - CALM)
    room = round(most * min(1, max(0, headroom)))
    room = min(room, max(1, _spare(pool)))
    if left < len(waiting) * LOAD_TIME:
        room = max(room, needed)
    return room


def _spare(pool):
    """Return how many upstreams are not needed to serve what clients ask for."""
    needed = pool.demand / (1000 * BUSY_SHARE)
    return int(pool.size - needed)


def choose_next(outdated, pool, work):
    """Return the items of `pool` that are to start now.

    `work(id)` is the work in flight at an upstream.
    """
    taken = Counter(upstream.data_centre for upstream in pool.loading)
    loading_ids = {upstream.id for upstream in pool.loading}
    waiting = [item for item in outdated if item.upstream.id not in loading_ids]
    room = loads_at_once(pool, waiting) - len(pool.loading)
    chosen = []
    while room > len(chosen) and waiting:
        item = min(
            waiting,
            key=lambda item: (
                taken[item.upstream.data_centre],
                work(item.upstream.id),
                item.upstream.id,
            ),
        )
        waiting.remove(item)
        chosen.append(item)
        taken[item.upstream.data_centre] += 1
    return chosen
