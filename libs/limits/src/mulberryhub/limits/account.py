"""The token account of one workspace on one router."""

from collections import deque

from mulberryhub.base.green import Event
from mulberryhub.limits.borrowings import Borrowings
from mulberryhub.limits.demand import Demand
from mulberryhub.limits.local_share import LocalShare

MIN_BORROW_INTERVAL_MS = 50
MAX_BORROW_INTERVAL_MS = 500
BORROW_INTERVALS_PER_BURST = 4
ROUNDING_TOLERANCE_TOKENS = 1e-6


class Debit:
    """Tokens debited from one source for a request.

    The source is the borrowed loan `loan`, or the local bucket where `loan` is None;
    `sequence` is then the number that the bucket gave to the debit.
    """

    __slots__ = ("amount", "loan", "sequence")

    def __init__(self, amount, loan=None, sequence=None):
        self.amount = amount
        self.loan = loan
        self.sequence = sequence


class Waiter:
    """A request that waits for `cost` tokens.

    Once the tokens are debited, `debits` and `debited_at` (in ms) are set
    and `event` is sent.
    """

    __slots__ = ("cost", "debits", "debited_at", "event")

    def __init__(self, cost):
        self.cost = cost
        self.debits = None
        self.debited_at = None
        self.event = Event()


class Account:
    """The tokens that one router may use for one workspace.

    `rate` (tokens per ms) and `burst` (tokens) are those of the whole fleet. The
    local share starts empty and fills from time `start` in ms. `debt` counts the
    tokens that requests used beyond their reservations.
    """

    __slots__ = (
        "workspace",
        "rate",
        "burst",
        "local_share",
        "borrowings",
        "demand",
        "debt",
        "waiters",
        "waiting_cost",
    )

    def __init__(self, workspace, now, start):
        self.workspace = workspace
        self.rate = 0.0
        self.burst = 0.0
        self.local_share = LocalShare(start)
        self.borrowings = Borrowings(workspace)
        self.demand = Demand(now)
        self.debt = 0.0
        self.waiters = deque()
        self.waiting_cost = 0

    @property
    def borrow_interval(self):
        """Return the interval in ms for which loans and reserves are planned.

        It is the time in which the rate fills a part of the burst, within bounds. If a
        holder lends too little, the next request to it follows after an interval or
        more.
        """
        if not self.rate:
            return MAX_BORROW_INTERVAL_MS
        borrow_interval = self.burst / self.rate / BORROW_INTERVALS_PER_BURST
        return min(MAX_BORROW_INTERVAL_MS, max(MIN_BORROW_INTERVAL_MS, borrow_interval))

    def resize(self, rate, burst, fraction, now):
        """Set the rate and burst of the fleet and the fraction that is held here."""
        self.rate = rate
        self.burst = burst
        self.local_share.advance(now)
        self.local_share.bucket.resize(rate * fraction, burst * fraction, now)

    def available(self, now):
        """Return the tokens, local and borrowed, that a request could use at `now`."""
        self.local_share.advance(now)
        return self.local_share.bucket.level + self.borrowings.available(now)

    def take(self, cost, now):
        """Debit `cost` tokens and return the debits, or None if too few are there.

        Any debt is paid first, as far as the available tokens go.
        """
        self._pay_debt(now)
        if self.available(now) + ROUNDING_TOLERANCE_TOKENS < cost:
            return None
        return self._debit(cost, now)

    def _pay_debt(self, now):
        if not self.debt:
            return
        amount = min(self.debt, self.available(now))
        if amount > 0:
            self._debit(amount, now)
            self.debt -= amount

    def _debit(self, cost, now):
        debits = [
            Debit(amount, loan=loan) for loan, amount in self.borrowings.take(cost, now)
        ]
        remainder = cost - sum(debit.amount for debit in debits)
        if remainder > 0:
            debits.append(
                Debit(remainder, sequence=self.local_share.bucket.take(remainder, now))
            )
        return debits

    def refund(self, debits, amount, now):
        """Return up to `amount` unused tokens to the sources of `debits`."""
        self.local_share.advance(now)
        self.borrowings.advance(now)
        for debit in reversed(debits):
            returned = min(debit.amount, amount)
            amount -= returned
            if not returned:
                continue
            if debit.loan is None:
                self.local_share.bucket.refund(returned, debit.sequence, now)
            else:
                self.borrowings.refund(debit.loan, returned)

    def add_debt(self, amount):
        """Add `amount` tokens that a request used beyond its reservation."""
        self.debt += amount

    def add_waiter(self, cost):
        """Queue a request for `cost` tokens and return its Waiter."""
        waiter = Waiter(cost)
        self.waiters.append(waiter)
        self.waiting_cost += cost
        return waiter

    def remove_waiter(self, waiter):
        """Remove a request whose tokens are debited or whose wait has ended."""
        self.waiters.remove(waiter)
        self.waiting_cost -= waiter.cost

    def serve_waiters(self, now):
        """Debit tokens for waiting requests in order until too few are left."""
        while self.waiters:
            waiter = self.waiters[0]
            waiter.debits = self.take(waiter.cost, now)
            if waiter.debits is None:
                return
            waiter.debited_at = now
            self.remove_waiter(waiter)
            waiter.event.send()

    @property
    def is_idle(self):
        """Return whether no request waits and nothing is borrowed or left to report."""
        return not self.waiters and self.borrowings.is_idle
