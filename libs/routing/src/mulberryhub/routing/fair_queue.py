"""Deficit round robin between workspaces by the tokens that requests cost."""

from collections import OrderedDict, deque

QUANTUM = 2_000  # tokens
LEAST_WEIGHT = 0.01


class Ticket:
    """One waiting request; `start()` is called when its turn has come."""

    __slots__ = ("workspace", "cost", "start", "is_waiting")

    def __init__(self, workspace, cost, start):
        self.workspace = workspace
        self.cost = cost
        self.start = start
        self.is_waiting = True


class Lane:
    """The waiting requests of one workspace and the tokens that it may spend."""

    __slots__ = ("tickets", "deficit", "cost")

    def __init__(self):
        self.tickets = deque()
        self.deficit = 0.0
        self.cost = 0


class FairQueue:
    """Requests that wait, one lane for each workspace.

    `weight_of(workspace)` returns its weight. A workspace that waits alone gets
    all there is; several share by weight, whatever each of them has queued.
    """

    __slots__ = ("_lanes_by_workspace", "_weight_of")

    def __init__(self, weight_of):
        self._lanes_by_workspace = OrderedDict()
        self._weight_of = lambda workspace: max(LEAST_WEIGHT, weight_of(workspace))

    def __len__(self):
        return sum(len(lane.tickets) for lane in self._lanes_by_workspace.values())

    def push(self, ticket):
        """Add a ticket at the end of the lane of its workspace."""
        lane = self._lanes_by_workspace.setdefault(ticket.workspace, Lane())
        lane.tickets.append(ticket)
        lane.cost += ticket.cost

    def next(self):
        """Return the ticket whose turn it is, without taking it, or None."""
        while self._lanes_by_workspace:
            workspace, lane = next(iter(self._lanes_by_workspace.items()))
            ticket = lane.tickets[0]
            if lane.deficit >= ticket.cost:
                return ticket
            lane.deficit += QUANTUM * self._weight_of(workspace)
            if lane.deficit < ticket.cost:
                self._lanes_by_workspace.move_to_end(workspace)
        return None

    def take(self, ticket):
        """Remove the ticket that `next` returned and charge its workspace."""
        lane = self._lanes_by_workspace[ticket.workspace]
        lane.deficit -= ticket.cost
        self._remove(lane, ticket)
        more = lane.tickets and lane.tickets[0].cost <= lane.deficit
        if lane.tickets and not more:
            self._lanes_by_workspace.move_to_end(ticket.workspace)

    def cancel(self, ticket):
        """Remove a ticket that is waiting, free of charge."""
        self._remove(self._lanes_by_workspace[ticket.workspace], ticket)

    def cost_ahead(self, workspace):
        """Return the tokens that are served before a new ticket of `workspace`."""
        own = self._lanes_by_workspace.get(workspace)
        own_cost = own.cost if own else 0
        weight = self._weight_of(workspace)
        ahead = own_cost
        for other, lane in self._lanes_by_workspace.items():
            if other != workspace:
                share = (own_cost + QUANTUM) * self._weight_of(other) / weight
                ahead += min(lane.cost, share)
        return ahead

    def _remove(self, lane, ticket):
        lane.tickets.remove(ticket)
        lane.cost -= ticket.cost
        ticket.is_waiting = False
        if not lane.tickets:
            del self._lanes_by_workspace[ticket.workspace]
