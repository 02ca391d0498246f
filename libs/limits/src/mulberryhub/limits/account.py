"""One workspace on one router: its share, what is borrowed, and who waits."""

from collections import deque

from mulberryhub.base.green import Event
from mulberryhub.limits.borrowings import Borrowings
from mulberryhub.limits.demand import Demand
from mulberryhub.limits.local_share import LocalShare

MIN_BORROW_INTERVAL_MS = 50  # ms
MAX_BORROW_INTERVAL_MS = 500  # ms
BORROW_INTERVALS_PER_BURST = 4
ROUNDING_TOLERANCE_TOKENS = 1e-6  # tokens


class Debit:
    """Tokens of a grant from one source: a lot, or the own bucket at a mark."""

    __slots__ = ("amount", "loan", "sequence")

    def __init__(self, amount, loan=None, sequence=None):
        self.amount = amount
        self.loan = loan
        self.sequence = sequence


class Waiter:
    """A request that waits for `cost` tokens.

    `parts` and the `time` of the debit in ms are set when it has them.
    """

    __slots__ = ("cost", "debits", "time", "event")

    def __init__(self, cost):
        self.cost = cost
        self.debits = None
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
        """Return the time in ms between asks to a holder that has run short."""
        if not self.rate:
            return MAX_BORROW_INTERVAL_MS
        borrow_interval = self.burst / self.rate / BORROW_INTERVALS_PER_BURST
        return min(MAX_BORROW_INTERVAL_MS, max(MIN_BORROW_INTERVAL_MS, borrow_interval))

    def resize(self, rate, burst, fraction, now):
        """Set rate and burst of the fleet and the part that this router holds."""
        self.rate = rate
        self.burst = burst
        self.local_share.advance(now)
        self.local_share.bucket.resize(rate * fraction, burst * fraction, now)

    def available(self, now):
        """Return the tokens that a request could use at `now`."""
        self.local_share.advance(now)
        return self.local_share.bucket.level + self.borrowings.available(now)

    def take(self, cost, now):
        """Debit `cost` tokens and return their parts, or None where they lack.

        What is owed goes first, as far as there are tokens.
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
        """Return up to `amount` unused tokens to where they came from."""
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
        """Note tokens that a request used beyond what it had reserved."""
        self.debt += amount

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
            waiter.debits = self.take(waiter.cost, now)
            if waiter.debits is None:
                return
            waiter.time = now
            self.remove_waiter(waiter)
            waiter.event.send()

    @property
    def is_idle(self):
        """Tell whether nothing waits, is borrowed or is still to be reported."""
        return not self.waiters and self.borrowings.is_idle
