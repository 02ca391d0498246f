"""Plans loan requests: how much a workspace borrows, and from which holders."""

MIN_LOAN_REQUEST_TOKENS = 1
MAX_BACKOFF_INTERVALS = 8
# Relative to the tokens that a share as large as the local one gains in an interval.
MIN_USEFUL_LOAN_RATIO = 0.5


class HolderEstimate:
    """The estimated tokens of one holder for one workspace.

    `level` was reported at `reported_at` in ms. No loan request is sent before
    `next_request_at` in ms. `backoff_intervals` is the number of borrow intervals to
    wait after the next response that falls short.
    """

    __slots__ = ("level", "reported_at", "next_request_at", "backoff_intervals")

    def __init__(self, level, reported_at):
        self.level = level
        self.reported_at = reported_at
        self.next_request_at = reported_at
        self.backoff_intervals = 1

    def level_at(self, now, rate, burst):
        """Return the level expected at `now`, given the holder's rate and burst."""
        return min(burst, self.level + rate * (now - self.reported_at))


class PlannedLoanRequest:
    """A loan request to send to `holder`.

    `expected` is the part of `wanted` that the holder is estimated to have.
    """

    __slots__ = ("holder", "wanted", "expected", "is_urgent")

    def __init__(self, holder, wanted, expected, is_urgent):
        self.holder = holder
        self.wanted = wanted
        self.expected = expected
        self.is_urgent = is_urgent


class Planner:
    """Plans the loan requests of one workspace on one router."""

    __slots__ = ("_account", "_estimates_by_holder")

    def __init__(self, account):
        self._account = account
        self._estimates_by_holder = {}

    def plan(self, holders, now):
        """Return the loan requests to send now to some of `holders`.

        `holders` are the VMs of other routers that can be reached. While requests wait,
        the plan covers what they need; otherwise it keeps a stock for the demand.
        """
        account = self._account
        stock = account.available(now) + account.borrowings.expected(now)
        if account.waiters:
            shortfall = self._urgent_need() - stock
            return self._plan_loan_requests(shortfall, holders, True, now)
        target_stock = self._target_stock(now)
        if 2 * stock >= target_stock:
            return []
        return self._plan_loan_requests(target_stock - stock, holders, False, now)

    def record_response(self, holder, wanted, amount, level, now):
        """Update the estimate of `holder` from its response.

        A holder that lent less than `wanted` gets no loan request during a backoff. The
        backoff doubles with each such response up to MAX_BACKOFF_INTERVALS, and
        restarts at one interval when the loan was useful (MIN_USEFUL_LOAN_RATIO).
        """
        estimate = self._estimate_for(holder, now)
        estimate.level = level
        estimate.reported_at = now
        if amount >= wanted:
            return
        interval = self._account.borrow_interval
        if (
            amount
            >= self._account.local_share.bucket.rate * interval * MIN_USEFUL_LOAN_RATIO
        ):
            estimate.backoff_intervals = 1
        estimate.next_request_at = now + estimate.backoff_intervals * interval
        estimate.backoff_intervals = min(
            MAX_BACKOFF_INTERVALS, 2 * estimate.backoff_intervals
        )

    def _urgent_need(self):
        """Return the tokens that waiting requests can get within an interval."""
        account = self._account
        interval_refill = account.rate * account.borrow_interval
        return min(account.waiting_cost, account.waiters[0].cost + interval_refill)

    def _target_stock(self, now):
        """Return the tokens to have in stock for the time between loan requests."""
        account = self._account
        demand = min(account.demand.rate(now), account.rate)
        missing_rate = demand - account.local_share.bucket.rate
        return max(0.0, missing_rate * 2 * account.borrow_interval)

    def _plan_loan_requests(self, shortfall, holders, is_urgent, now):
        loan_requests = []
        for level, holder in self._ranked_holders(holders, now):
            wanted = int(shortfall) + 1
            if shortfall <= 0 or wanted < MIN_LOAN_REQUEST_TOKENS:
                break
            if not is_urgent and level < MIN_LOAN_REQUEST_TOKENS:
                break
            expected = min(wanted, level)
            loan_requests.append(
                PlannedLoanRequest(holder, wanted, expected, is_urgent)
            )
            shortfall -= expected
        return loan_requests

    def _ranked_holders(self, holders, now):
        """Return (level, holder) pairs that can get a request, highest level first."""
        account = self._account
        pending_holders = account.borrowings.pending_holders()
        count = len(holders) + 1
        rate, burst = account.rate / count, account.burst / count
        ranked = []
        for holder in holders:
            estimate = self._estimate_for(holder, now)
            if holder not in pending_holders and estimate.next_request_at <= now:
                ranked.append((estimate.level_at(now, rate, burst), holder))
        return sorted(ranked, reverse=True)

    def _estimate_for(self, holder, now):
        estimate = self._estimates_by_holder.get(holder)
        if estimate is None:
            estimate = HolderEstimate(self._account.burst, now)
            self._estimates_by_holder[holder] = estimate
        return estimate
