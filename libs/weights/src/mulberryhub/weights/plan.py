"""Which upstreams load new weights next.

Answers the load of a pool that serves while it changes: at most a share of the pool
loads at once, spread over data centres, the least busy first, so that the rest
carries the traffic until the first ones are back with the newest weights.
"""

from collections import Counter

from mulberryhub.fleet.records import State

LOADING_SHARE = 0.4  # of a pool that may load at once


class Outdated:
    """An upstream with a model whose newest version it lacks."""

    __slots__ = ("upstream", "model", "version")

    def __init__(self, upstream, model, version):
        self.upstream = upstream
        self.model = model
        self.version = version


def find_outdated(beliefs):
    """Return what lacks the newest named version, one item for each upstream."""
    items = []
    for upstream in beliefs.upstreams_by_id.values():
        if upstream.state is not State.READY:
            continue
        for model in upstream.versions_by_model:
            newest = beliefs.version_by_model.get(model, 0)
            if beliefs.version_at(upstream.id, model) < newest:
                items.append(Outdated(upstream, model, newest))
                break
    return items


def loads_at_once(pool_size):
    """Return how many upstreams of a pool may load at the same time."""
    return max(1, int(pool_size * LOADING_SHARE))


def choose_next(outdated, loading, pool_size, work):
    """Return the items of one pool that are to start now.

    `loading` are upstreams that load already, `work(id)` the work in flight.
    """
    room = loads_at_once(pool_size) - len(loading)
    taken = Counter(upstream.data_centre for upstream in loading)
    loading_ids = {upstream.id for upstream in loading}
    waiting = [item for item in outdated if item.upstream.id not in loading_ids]
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
