"""The rule of a limit, and what one router knows of a workspace's use of it."""

from math import floor
from random import random

from mulberryhub.base.windows import SlidingSum

RATE_WINDOW_MS = 1_000  # over which demand is measured
MEAN_COST_WEIGHT = 0.05  # of a request in the moving average
MAX_SMALL_REQUEST_FACTOR = 10  # on the probability of a small request
MIN_LARGE_REQUEST_FACTOR = 0.7  # on the probability of a large request


class QuotaRule:
    """The window in ms over which limits apply, and the tolerance above them.

    The tolerance is the share `overage` of the limit plus the amount `slack`.
    """

    __slots__ = ("window", "overage", "slack")

    def __init__(self, window, overage, slack):
        self.window = window
        self.overage = overage
        self.slack = slack

    def limit(self, workspace, tolerance):
        """Return what a workspace may use in a window.

        `tolerance` is the share of the tolerance to include, from 0 to 1.
        """
        limit = workspace.rate * self.window / 1000 + workspace.burst
        return limit + tolerance * (limit * self.overage + self.slack)


class WorkspaceUsage:
    """The demand and the admitted cost of one workspace at this router.

    `remaining` is the cost that may be admitted until the next refresh, `probability`
    that of admitting a request of mean cost, and `mean_cost` the moving average of the
    cost of requests. `used_by_others` is what other routers admitted in the window, as
    far as known, `heard` the number of routers in that, and `routers` that of all that
    may be admitting. `refreshed_at` is the time of the last refresh (ms), or None.
    `lent` is the part of `admitted` that this router admitted in place of others.

    `borrowed` is the cost that the coordinator lent until `borrowed_until` (ms) and
    `loans` what it lent in the window. More may be borrowed from `borrow_at` (ms) on.
    `pending_loan` is the Event of a loan on its way, or None. From `no_loans_at` until
    `no_loans_until` (ms) no router lends, and what remains is rounded up by at most
    `rounding` requests.
    """

    __slots__ = (
        "demand",
        "admitted",
        "lent",
        "used_by_others",
        "heard",
        "routers",
        "remaining",
        "probability",
        "mean_cost",
        "refreshed_at",
        "borrowed",
        "loans",
        "borrowed_until",
        "borrow_at",
        "pending_loan",
        "no_loans_at",
        "no_loans_until",
        "rounding",
    )

    def __init__(self, window):
        self.demand = SlidingSum(RATE_WINDOW_MS)
        self.admitted = SlidingSum(window)
        self.lent = SlidingSum(window)
        self.used_by_others = 0
        self.heard = 1
        self.routers = 1
        self.remaining = 0
        self.probability = 1
        self.mean_cost = 0
        self.refreshed_at = None
        self.borrowed = 0
        self.loans = SlidingSum(window)
        self.borrowed_until = 0
        self.borrow_at = 0
        self.pending_loan = None
        self.no_loans_at = 0
        self.no_loans_until = 0
        self.rounding = random()

    def used_here(self, now):
        """Return what this router's own requests used in the window."""
        own = self.admitted.total_at(now) - self.lent.total_at(now)
        return own + self.loans.total_at(now)

    def spend(self, cost, now):
        """Admit a request of `cost` from the remaining cost; return whether it fits."""
        if self.remaining < cost:
            return False
        self.remaining -= cost
        self.admitted.add(cost, now)
        return True

    def round_remaining(self):
        """Round to a whole number of requests of mean cost, up at some routers.

        Equal shares may be less than one request.
        """
        if self.mean_cost and self.remaining > 0:
            count = floor(self.remaining / self.mean_cost + self.rounding)
            self.remaining = count * self.mean_cost

    def use_borrowed(self, cost, now):
        """Use what was borrowed for a request of `cost`; return whether it suffices."""
        if now > self.borrowed_until:
            self.borrowed = 0
        if self.borrowed < cost:
            return False
        self.borrowed -= cost
        return True

    def add_cost(self, cost):
        """Include the cost of a request in the moving average."""
        if not self.mean_cost:
            self.mean_cost = cost
        self.mean_cost += MEAN_COST_WEIGHT * (cost - self.mean_cost)

    def admission_probability(self, cost):
        """Return the probability of admitting a request of `cost`.

        Small requests, which use little of the remaining quota, are more likely to be
        admitted. Large requests are only slightly less likely, so that they do not
        starve.
        """
        if self.probability >= 1:
            return 1
        factor = self.mean_cost / cost if cost else MAX_SMALL_REQUEST_FACTOR
        return self.probability * min(
            MAX_SMALL_REQUEST_FACTOR, max(MIN_LARGE_REQUEST_FACTOR, factor)
        )
