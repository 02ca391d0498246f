"""The expected cost of shared prompt parts that an upstream has to process again.

Upstreams cache few of the parts, so requests with the same shared parts go to the same
few upstreams, which are ranked by hashing. Where the router's data centre has a KV
cache store, its own upstreams are ranked, as they fetch the parts that the store holds
at little cost. That makes a copy in each data centre. A part that the store does not
hold is therefore expected at the first of the upstreams of all data centres.
"""

from mulberryhub.routing.placement import Placement

# Cost of each shared token that is processed again, for which other requests wait too.
MISS_COST_MS_PER_TOKEN = 0.06
# Cost of shared parts that are fetched from the store in the data centre. A fetch takes
# some ms, and the copy takes room from parts that the store does not hold.
FETCH_COST_MS = 20
# Cost of each rank. Other routers' requests are known up to 250 ms late, so that the
# upstream that seems least busy is chosen by all; ranks spread the requests.
RANK_COST_MS = 80
MAX_RANKED_UPSTREAMS = 3  # that cache the shared parts of the same prompt
MAX_PLACEMENTS = 64


class Candidate:
    """The id of an upstream, as Placement expects it."""

    __slots__ = ("id",)

    def __init__(self, id):
        self.id = id


class PartPlaces:
    """Ranks the upstreams that most likely cache the shared parts of a prompt.

    `holds_parts(call, workspace, version)` returns whether the KV cache store in the
    router's data centre holds them.
    """

    __slots__ = ("_holds_parts", "_placements_by_ids")

    def __init__(self, holds_parts):
        self._holds_parts = holds_parts
        self._placements_by_ids = {}

    def miss_costs(self, call, workspace, version, upstreams, region=None):
        """Return the expected cost in ms by the id of each upstream that may be used.

        `upstreams` are those with the weights `version`; without a Region, any of them.
        """
        tokens = sum(part.tokens for part in call.shared_parts)
        price = MISS_COST_MS_PER_TOKEN * tokens
        if region is None:
            ranked_ids = self.rank(call, upstreams)
            return _costs(upstreams, ranked_ids, lambda rank: price * rank)
        local = [item for item in upstreams if item.data_centre == region.data_centre]
        ranked_ids = self.rank(call, local)
        costs, first_rank = {}, 0
        if region.is_home and ranked_ids:
            if self._holds_parts(call, workspace, version):
                price = min(price, FETCH_COST_MS)
            else:
                holder = self._holder(call, upstreams, region)
                if holder.data_centre != region.data_centre:
                    costs = {holder.id: _ranked_cost(price, 0)}
                    first_rank = 1
        return costs | _costs(
            local, ranked_ids, lambda rank: _ranked_cost(price, rank, first_rank)
        )

    def rank(self, call, upstreams):
        """Return the ids of upstreams where the shared parts are cached, best first.

        The order is the same at all routers.
        """
        shared = call.shared_parts
        if not shared or not upstreams:
            return []
        placement = self._placement(upstreams)
        order = placement.rank(shared[-1].id.encode(), MAX_RANKED_UPSTREAMS)
        return [candidate.id for candidate in order]

    def _holder(self, call, upstreams, region):
        """Return the upstream that most likely caches parts that no store holds."""
        names = {region.data_centre, *region.holder_data_centres}
        usable = [item for item in upstreams if item.data_centre in names]
        first_id = self.rank(call, usable)[0]
        return next(item for item in usable if item.id == first_id)

    def _placement(self, upstreams):
        ids = tuple(item.id for item in upstreams)
        placement = self._placements_by_ids.get(ids)
        if placement is None:
            if len(self._placements_by_ids) > MAX_PLACEMENTS:
                self._placements_by_ids.clear()
            placement = Placement([Candidate(id) for id in ids])
            self._placements_by_ids[ids] = placement
        return placement


def _miss_share(rank):
    """Return the share of shared tokens that are expected not to be cached."""
    return min(1, (rank + 1) / (MAX_RANKED_UPSTREAMS + 1))


def _ranked_cost(price, rank, first_rank=0):
    """Return the cost in ms at a `rank` if all parts together cost `price` to obtain.

    The upstreams that most likely cache the parts begin at `first_rank`.
    """
    return price * _miss_share(first_rank + rank) + RANK_COST_MS * rank


def _costs(upstreams, ranked_ids, cost_of_rank):
    rank_by_id = {id: rank for rank, id in enumerate(ranked_ids[:MAX_RANKED_UPSTREAMS])}
    return {
        upstream.id: cost_of_rank(rank_by_id.get(upstream.id, MAX_RANKED_UPSTREAMS))
        for upstream in upstreams
    }
