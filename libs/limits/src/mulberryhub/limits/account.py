"""One workspace on one router: its share, what is borrowed, and who waits."""

from collections import deque

from mulberryhub.base.green import Event
from mulberryhub.limits.borrowings import Borrowings
from mulberryhub.limits.demand import Demand
from mulberryhub.limits.holding import Holding

SHORTEST_INTERVAL = 50  # ms
LONGEST_INTERVAL = 500  # ms
INTERVALS_PER_BURST = 4
ROUNDING = 1e-6  # tokens


class Part:
    """Tokens of a grant from one source: a lot, or the own bucket at a mark."""

    __slots__ = ("amount", "lot", "mark")

    def __init__(self, amount, lot=None, mark=None):
        self.amount = amount
        self.lot = lot
        self.mark = mark


class Waiter:
    """A request that waits for `cost` tokens.

    `parts` and the `time` of the debit in ms are set when it has them.
    """

    __slots__ = ("cost", "parts", "time", "event")

    def __init__(self, cost):
        self.cost = cost
        self.parts = None
        self.time = None
        self.event = Event()


class Account:
    """The allowance of one workspace as one router sees it.

    `rate` (tokens per ms) and `burst` are those of the whole fleet. The own share
    fills from the time `start` in ms on. `owed` are tokens that requests used
    beyond what they had reserved.
    """

    __slots__ = (
        "workspace",
        "rate",
        "burst",
        "holding",
        "borrowings",
        "demand",
        "owed",
        "waiters",
        "waiting_cost",
    )

    def __init__(self, workspace, now, start):
        self.workspace = workspace
        self.rate = 0.0
        self.burst = 0.0
        self.holding = Holding(start)
        self.borrowings = Borrowings(workspace)
        self.demand = Demand(now)
        self.owed = 0.0
        self.waiters = deque()
        self.waiting_cost = 0

    @property
    def interval(self):
        """Return the time in ms between asks to a holder that has run short."""
        if not self.rate:
            return LONGEST_INTERVAL
        interval = self.burst / self.rate / INTERVALS_PER_BURST
        return min(LONGEST_INTERVAL, max(SHORTEST_INTERVAL, interval))

    def resize(self, rate, burst, fraction, now):
        """Set rate and burst of the fleet and the part that this router holds."""
        self.rate = rate
        self.burst = burst
        self.holding.advance(now)
        self.holding.bucket.resize(rate * fraction, burst * fraction, now)

    def available(self, now):
        """Return the tokens that a request could use at `now`."""
        self.holding.advance(now)
        return self.holding.bucket.level + self.borrowings.available(now)

    def take(self, cost, now):
        """Debit `cost` tokens and return their parts, or None where they lack.

        What is owed goes first, as far as there are tokens.
        """
        self._pay(now)
        if self.available(now) + ROUNDING < cost:
            return None
        return self._debit(cost, now)

    def _pay(self, now):
        if not self.owed:
            return
        amount = min(self.owed, self.available(now))
        if amount > 0:
            self._debit(amount, now)
            self.owed -= amount

    def _debit(self, cost, now):
        parts = [
            Part(amount, lot=lot) for lot, amount in self.borrowings.take(cost, now)
        ]
        rest = cost - sum(part.amount for part in parts)
        if rest > 0:
            parts.append(Part(rest, mark=self.holding.bucket.take(rest, now)))
        return parts

    def give_back(self, parts, amount, now):
        """Return up to `amount` unused tokens to where they came from."""
        self.holding.advance(now)
        self.borrowings.advance(now)
        for part in reversed(parts):
            returned = min(part.amount, amount)
            amount -= returned
            if not returned:
                continue
            if part.lot is None:
                self.holding.bucket.refund(returned, part.mark, now)
            else:
                self.borrowings.give_back(part.lot, returned)

    def owe(self, amount):
        """Note tokens that a request used beyond what it had reserved."""
        self.owed += amount

    def add_waiter(self, cost):
        """Let a request wait for its tokens, behind those that wait already."""
        waiter = Waiter(cost)
        self.waiters.append(waiter)
        self.waiting_cost += cost
        return waiter

    def remove_waiter(self, waiter):
        """Forget a request that has its tokens or waits no longer."""
        self.waiters.remove(waiter)
        self.waiting_cost -= waiter.cost

    def serve_waiters(self, now):
        """Give their tokens to those who wait, in order."""
        while self.waiters:
            waiter = self.waiters[0]
            waiter.parts = self.take(waiter.cost, now)
            if waiter.parts is None:
                return
            waiter.time = now
            self.remove_waiter(waiter)
            waiter.event.send()

    @property
    def is_idle(self):
        """Tell whether nothing waits, is borrowed or is still to be reported."""
        return not self.waiters and self.borrowings.is_idle
