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
    """The upstreams of one service; `busy` is the mean work of those that serve.

    `version_time` is the ms in which new weights are due everywhere.
    """

    __slots__ = ("size", "loading", "busy", "version_time")

    def __init__(self, size, loading, busy, version_time):
        self.size = size
        self.loading = loading
        self.busy = busy
        self.version_time = version_time


def find_outdated(beliefs):
    """Return what lacks the newest named version, one item for each upstream."""
    items = []
    for upstream in beliefs.upstreams_by_id.values():
        if upstream.state is not State.READY:
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
    if left < len(waiting) * LOAD_TIME:
        room = max(room, needed)
    return room


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
