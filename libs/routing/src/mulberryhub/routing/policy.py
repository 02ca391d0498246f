"""A policy: a ranking function with the state that feedback keeps up to date."""

from mulberryhub.routing.loads import EngineLoads
from mulberryhub.routing.news import RoutingNews
from mulberryhub.routing.placement import Placement
from mulberryhub.routing.request import Decision

PLACEMENTS_KEPT = 64


class Placements:
    """Placements of lists of engines, built once for each list object."""

    __slots__ = ("_by_list",)

    def __init__(self):
        self._by_list = {}

    def of(self, engines):
        """Return the placement of the list `engines`, which must not change."""
        placement = self._by_list.get(id(engines))
        if placement is None or placement.engines is not engines:
            if len(self._by_list) >= PLACEMENTS_KEPT:
                self._by_list.clear()
            placement = self._by_list[id(engines)] = Placement(engines)
        return placement


class PolicyState:
    """What all policies of one router keep."""

    __slots__ = ("placements", "loads")

    def __init__(self):
        self.placements = Placements()
        self.loads = EngineLoads()


class Policy:
    """Chooses engines with `rank` and takes in what became of each choice.

    `rank(request, engines, now)` returns a Decision. `engines` has to be the same
    list object for as long as the engines stay the same.
    """

    __slots__ = ("name", "state", "_rank", "_clock")

    def __init__(self, name, state, rank, clock):
        self.name = name
        self.state = state
        self._rank = rank
        self._clock = clock

    def choose(self, request, engines, now):
        """Return the Decision for `request` among `engines`."""
        if not engines:
            return Decision(request, [])
        return self._rank(request, engines, now)

    def started(self, decision, engine_id):
        """Note that the request was sent to `engine_id`."""
        tokens = decision.missing(engine_id)
        decision.waiting_by_id[engine_id] = tokens
        load = self.state.loads.get(engine_id)
        load.own_tokens += tokens
        load.own_running += 1

    def answered(self, decision, engine_id, cached_tokens, first_token_time):
        """Note the first token, `first_token_time` ms after the request was sent."""
        tokens = decision.waiting_by_id.pop(engine_id, 0)
        self.state.loads.get(engine_id).own_tokens -= tokens

    def ended(self, decision, engine_id):
        """Note that the request has ended on `engine_id`, answered or not."""
        tokens = decision.waiting_by_id.pop(engine_id, 0)
        load = self.state.loads.get(engine_id)
        load.own_tokens -= tokens
        load.own_running -= 1

    def reported(self, engine_id, load, age):
        """Note a load report that is `age` ms old."""
        self.state.loads.get(engine_id).report(load, self._clock.now() - age)

    def forgotten(self, engine_id):
        """Drop what is known of an engine that came back as a new incarnation."""
        self.state.loads.get(engine_id).forget_reports()

    def news(self, peer):
        """Return what the router named `peer` may use and has not been told."""
        return RoutingNews()

    def heard(self, peer, news):
        """Take in the RoutingNews of the router named `peer`."""
