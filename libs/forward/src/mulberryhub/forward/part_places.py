"""The expected cost of shared prompt parts that an upstream has to process again.

Upstreams cache few of the parts, so requests with the same shared parts go to the same
few upstreams, which are ranked by hashing. Where the router's data centre has a KV
cache store, its own upstreams are ranked, as they fetch the parts that the store holds
at little cost. That makes a copy in each data centre, and the more copies, the fewer
different parts are cached. So a part that the store does not hold is placed at the
first upstream of all data centres, its holder, if that pays.
"""

from random import sample

from mulberryhub.forward.outbound_shares import MARGIN_MS
from mulberryhub.forward.speed_costs import rank_by_placement
from mulberryhub.routing.placement import Placement

# Cost of each shared token that is processed again, for which other requests wait too.
MISS_COST_MS_PER_TOKEN = 0.06
# Cost of shared parts that are fetched from the store in the data centre. A fetch takes
# some ms, and the copy takes room from parts that the store does not hold.
FETCH_COST_MS = 20
# Cost of each rank. The upstream that seems least busy is chosen by all routers until
# they learn of each other's requests, half of the 250 ms between reports on average.
# Ranks spread the requests, unless upstreams differ by more than that.
RANK_COST_MS = 125
MAX_RANKED_UPSTREAMS = 3  # that cache the shared parts of the same prompt
MAX_PLACEMENTS = 64
CACHE_MEMORY_SHARE = 0.75  # of an upstream's KV memory, which running requests share


class Candidate:
    """The id of an upstream, as Placement expects it."""

    __slots__ = ("id",)

    def __init__(self, id):
        self.id = id


class StoredParts:
    """What the KV cache store in the router's data centre holds.

    `holds(call, workspace, version)` returns whether it holds the shared parts of a
    call, `token_count()` the length of all parts in it.
    """

    __slots__ = ("holds", "token_count")

    def __init__(self, holds, token_count):
        self.holds = holds
        self.token_count = token_count


class PartPlaces:
    """Ranks the upstreams that most likely cache the shared parts of a prompt.

    `store` is the StoredParts of the KV cache store in the router's data centre.
    `rank_homes(placement, digest, count, service)` returns the `count` best candidates
    of a Placement to cache the parts with `digest`.
    """

    __slots__ = ("_store", "_rank_homes", "_placements_by_ids")

    def __init__(self, store, rank_homes=rank_by_placement):
        self._store = store
        self._rank_homes = rank_homes
        self._placements_by_ids = {}

    def miss_costs(self, call, service, workspace, version, upstreams, region=None):
        """Return the expected cost in ms by the id of each upstream that may be used.

        `upstreams` are those with the weights `version`; without a Region, any of them.
        """
        tokens = sum(part.tokens for part in call.shared_parts)
        price = MISS_COST_MS_PER_TOKEN * tokens
        if region is None:
            ranked_ids = self.rank(call, service, upstreams)
            return _costs(upstreams, ranked_ids, lambda rank: price * rank)
        local = [item for item in upstreams if item.data_centre == region.data_centre]
        if not call.shared_parts:
            return spread_costs(local)
        ranked_ids = self.rank(call, service, local)
        cached, costs = self._cached_share(service, local), {}
        if region.is_home and ranked_ids:
            if self._store.holds(call, workspace, version):
                price = min(price, FETCH_COST_MS)
            else:
                # What home upstreams cache was saved to the store, which has more room.
                cached = 0
                costs = self._holder_cost(call, service, upstreams, region, price)
        return costs | _costs(
            local, ranked_ids, lambda rank: _ranked_cost(price, rank, cached)
        )

    def rank(self, call, service, upstreams):
        """Return the ids of upstreams where the shared parts are cached, best first.

        The order is the same at all routers that know the same speeds.
        """
        shared = call.shared_parts
        if not shared or not upstreams:
            return []
        order = self._rank_homes(
            self._placement(upstreams),
            shared[-1].id.encode(),
            MAX_RANKED_UPSTREAMS,
            service,
        )
        return [candidate.id for candidate in order]

    def _holder_cost(self, call, service, upstreams, region, price):
        """Return the cost by the id of the holder, empty if it is at home."""
        names = {region.data_centre, *region.holder_data_centres}
        usable = [item for item in upstreams if item.data_centre in names]
        first_id = self.rank(call, service, usable)[0]
        holder = next(item for item in usable if item.id == first_id)
        if holder.data_centre == region.data_centre:
            return {}
        cached = self._cached_share(service, usable)
        return {holder.id: _ranked_cost(price, 0, cached) + MARGIN_MS}

    def _cached_share(self, service, upstreams):
        """Return the share of the parts that `upstreams` cache without any copies.

        What the store holds stands for the parts in use, of which it is a part only.
        """
        capacity = CACHE_MEMORY_SHARE * service.kv_capacity * len(upstreams)
        return min(1, capacity / max(1, self._store.token_count()))

    def _placement(self, upstreams):
        ids = tuple(item.id for item in upstreams)
        placement = self._placements_by_ids.get(ids)
        if placement is None:
            if len(self._placements_by_ids) > MAX_PLACEMENTS:
                self._placements_by_ids.clear()
            placement = Placement([Candidate(id) for id in ids])
            self._placements_by_ids[ids] = placement
        return placement


def spread_costs(upstreams):
    """Return costs by id that let each request choose among a few random upstreams."""
    count = min(MAX_RANKED_UPSTREAMS, len(upstreams))
    ranked_ids = [upstream.id for upstream in sample(upstreams, count)]
    return _costs(upstreams, ranked_ids, lambda rank: _ranked_cost(0, rank, 0))


def _ranked_cost(price, rank, cached):
    """Return the cost in ms at a `rank` if all parts together cost `price` to obtain.

    They are cached at the first rank with the probability `cached`, and at others with
    less.
    """
    hit_share = cached * (1 - rank / MAX_RANKED_UPSTREAMS)
    return price * (1 - hit_share) + RANK_COST_MS * rank


def _costs(upstreams, ranked_ids, cost_of_rank):
    rank_by_id = {id: rank for rank, id in enumerate(ranked_ids[:MAX_RANKED_UPSTREAMS])}
    return {
        upstream.id: cost_of_rank(rank_by_id.get(upstream.id, MAX_RANKED_UPSTREAMS))
        for upstream in upstreams
    }
