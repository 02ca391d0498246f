"""Base class of routing policies, with the state that request feedback updates."""

from mulberryhub.routing.loads import EngineLoads
from mulberryhub.routing.placement import Placement
from mulberryhub.routing.request import Decision
from mulberryhub.routing.update import RoutingUpdate

MAX_PLACEMENT_COUNT = 64


class PlacementCache:
    """Caches the Placement of each list of engines by the identity of the list."""

    __slots__ = ("_placements_by_list_id",)

    def __init__(self):
        self._placements_by_list_id = {}

    def get(self, engines):
        """Return the Placement of the list `engines`, which must not be modified."""
        placement = self._placements_by_list_id.get(id(engines))
        if placement is None or placement.engines is not engines:
            if len(self._placements_by_list_id) >= MAX_PLACEMENT_COUNT:
                self._placements_by_list_id.clear()
            placement = self._placements_by_list_id[id(engines)] = Placement(engines)
        return placement


class PolicyState:
    """State that every policy of a router has: placements and engine loads."""

    __slots__ = ("placements", "loads")

    def __init__(self):
        self.placements = PlacementCache()
        self.loads = EngineLoads()


class Policy:
    """Ranks engines with `rank` and tracks the progress of the requests sent.

    `rank(request, engines, now)` returns a Decision. `engines` has to be the same
    list object for as long as the engines stay the same, as placements are cached by
    list object.
    """

    __slots__ = ("name", "state", "_rank", "_clock")

    def __init__(self, name, state, rank, clock):
        self.name = name
        self.state = state
        self._rank = rank
        self._clock = clock

    def choose(self, request, engines, now):
        """Return the Decision for `request` among `engines`, empty if there are none.

        `now` is a Clock.now() time in ms.
        """
        if not engines:
            return Decision(request, [])
        return self._rank(request, engines, now)

    def record_sent(self, decision, engine_id):
        """Record that the request was sent to `engine_id`."""
        tokens = decision.uncached_tokens(engine_id)
        decision.outstanding_tokens_by_id[engine_id] = tokens
        load = self.state.loads.get(engine_id)
        load.own_tokens += tokens
        load.own_request_count += 1

    def record_first_token(self, decision, engine_id, cached_tokens, first_token_time):
        """Record the first token of a request.

        `cached_tokens` is the length of the prefix that the engine had cached,
        `first_token_time` the ms from sending the request to the first token.
        """
        tokens = decision.outstanding_tokens_by_id.pop(engine_id, 0)
        self.state.loads.get(engine_id).own_tokens -= tokens

    def record_ended(self, decision, engine_id):
        """Record that the request has ended on `engine_id`, answered or not."""
        tokens = decision.outstanding_tokens_by_id.pop(engine_id, 0)
        load = self.state.loads.get(engine_id)
        load.own_tokens -= tokens
        load.own_request_count -= 1

    def record_report(self, engine_id, load, age):
        """Record a load report of an engine that is `age` ms old."""
        self.state.loads.get(engine_id).add_report(load, self._clock.now() - age)

    def discard_engine_state(self, engine_id):
        """Discard the reported state of an engine that has a new incarnation."""
        self.state.loads.get(engine_id).clear_reports()

    def update_for(self, peer):
        """Return the RoutingUpdate to send to the router `peer`."""
        return RoutingUpdate()

    def apply_update(self, peer, update):
        """Apply a RoutingUpdate received from the router `peer`."""
