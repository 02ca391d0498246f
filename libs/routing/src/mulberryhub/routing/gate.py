"""Holds requests back while engines have enough to do, and lets them go in fair turns.

Engines serve what they were sent in about the order of arrival, so fairness has to
be decided before: a bounded number of prompt tokens is on its way, the rest waits.
"""

from mulberryhub.base.errors import Code, HubError
from mulberryhub.base.green import Event, Timeout
from mulberryhub.routing.fair_queue import FairQueue, Ticket

QUEUE_CAPACITY = 1_000  # requests
DRAIN_GAIN = 0.05
LEAST_RETRY = 1_000  # ms


class FairGate:
    """Lets at most `window()` prompt tokens be on their way to a first token.

    A request that costs more than the window goes alone. `weight_of(workspace)`
    returns the weight of a workspace.
    """

    __slots__ = (
        "_clock",
        "_window",
        "_queue",
        "_counters",
        "_on_their_way",
        "_drain_cost",
        "_drain_pause",
        "_drained_at",
    )

    def __init__(self, clock, window, weight_of, counters):
        self._clock = clock
        self._window = window
        self._queue = FairQueue(weight_of)
        self._counters = counters
        self._on_their_way = 0
        self._drain_cost = 0.0
        self._drain_pause = 0.0
        self._drained_at = clock.now()

    def enter(self, workspace, cost, deadline):
        """Wait until the request may be sent.

        `cost` is in tokens and `deadline` is Clock.now() time in ms. Raise
        HubError QUEUE_FULL if there is no room or no hope to be in time, and
        DEADLINE if the deadline has passed. `leave` has to follow otherwise.
        """
        turn = Event()
        ticket = self.submit(workspace, cost, deadline, turn.send)
        if ticket is None:
            return
        limit = Timeout(max(1, deadline - self._clock.now()) / 1000)
        try:
            turn.wait()
        except Timeout as expired:
            self._give_up(ticket)
            if expired is not limit:
                raise
            raise self._refusal(Code.DEADLINE, LEAST_RETRY)
        except BaseException:
            self._give_up(ticket)
            raise
        finally:
            limit.cancel()

    def submit(self, workspace, cost, deadline, start):
        """Return None if the request may be sent at once, or its Ticket.

        `start()` is called when the turn of the Ticket has come. Raise HubError
        QUEUE_FULL like `enter`.
        """
        if not len(self._queue) and self._has_room(cost):
            self._on_their_way += cost
            return None
        wait = self.expected_wait(workspace)
        if len(self._queue) >= QUEUE_CAPACITY or self._clock.now() + wait > deadline:
            raise self._refusal(Code.QUEUE_FULL, max(LEAST_RETRY, wait))
        ticket = Ticket(workspace, cost, start)
        self._queue.push(ticket)
        return ticket

    def leave(self, cost):
        """Note that a request has its first token or has ended without one."""
        self._on_their_way -= cost
        self._measure(cost)
        self._start_waiting()

    def expected_wait(self, workspace):
        """Return the expected wait in ms of a new request of `workspace`."""
        if not self._drain_cost:
            return 0
        pauses = self._queue.cost_ahead(workspace) / self._drain_cost
        return int(pauses * self._drain_pause)

    def _give_up(self, ticket):
        """Drop the ticket of a request that does not wait any longer."""
        if ticket.is_waiting:
            self._queue.cancel(ticket)
            self._start_waiting()
        else:
            self.leave(ticket.cost)

    def _has_room(self, cost):
        return not self._on_their_way or self._on_their_way + cost <= self._window()

    def _start_waiting(self):
        ticket = self._queue.next()
        while ticket is not None and self._has_room(ticket.cost):
            self._queue.take(ticket)
            self._on_their_way += ticket.cost
            ticket.start()
            ticket = self._queue.next()

    def _measure(self, cost):
        """Follow how many tokens leave, and how often, while some requests wait."""
        now = self._clock.now()
        duration, self._drained_at = now - self._drained_at, now
        if len(self._queue):
            self._drain_cost += DRAIN_GAIN * (cost - self._drain_cost)
            self._drain_pause += DRAIN_GAIN * (duration - self._drain_pause)

    def _refusal(self, code, retry_after):
        self._counters.add(f"refusal.{code.label}")
        return HubError(code, "engines are busy", retry_after=retry_after)
