"""Decides how much a workspace should borrow now, and from whom."""

MIN_ASK = 1  # token
MAX_PAUSES = 8  # intervals
VAIN_SHARE = 0.5  # of what a share of the size of the own one gains in an interval


class HolderEstimate:
    """What one holder is thought to have for one workspace.

    `level` was reported at `time` in ms; no ask goes out before `ask_after`.
    `pauses` is the number of intervals to wait after the next vain ask.
    """

    __slots__ = ("level", "time", "ask_after", "pauses")

    def __init__(self, level, time):
        self.level = level
        self.time = time
        self.ask_after = time
        self.pauses = 1

    def at(self, now, rate, burst):
        """Return the level expected at `now`, for the holder's rate and burst."""
        return min(burst, self.level + rate * (now - self.time))


class PlannedAsk:
    """Tokens to ask of one holder, and those it is thought to have of them."""

    __slots__ = ("holder", "wanted", "expected", "is_urgent")

    def __init__(self, holder, wanted, expected, is_urgent):
        self.holder = holder
        self.wanted = wanted
        self.expected = expected
        self.is_urgent = is_urgent


class Planner:
    """Plans the asks of one workspace on one router."""

    __slots__ = ("_account", "_estimates_by_holder")

    def __init__(self, account):
        self._account = account
        self._estimates_by_holder = {}

    def plan(self, holders, now):
        """Return asks to some of `holders`, other routers that can be reached."""
        account = self._account
        stock = account.available(now) + account.borrowings.expected(now)
        if account.waiters:
            lacking = self._urgent_need() - stock
            return self._spread(lacking, holders, True, now)
        ahead = self._need_ahead(now)
        if 2 * stock >= ahead:
            return []
        return self._spread(ahead - stock, holders, False, now)

    def answered(self, holder, wanted, amount, level, now):
        """Take in an answer; a holder that ran short is left alone for a while.

        The while grows when it had not even gained much since the last ask.
        """
        estimate = self._estimate(holder, now)
        estimate.level = level
        estimate.time = now
        if amount >= wanted:
            return
        interval = self._account.interval
        if amount >= self._account.holding.bucket.rate * interval * VAIN_SHARE:
            estimate.pauses = 1
        estimate.ask_after = now + estimate.pauses * interval
        estimate.pauses = min(MAX_PAUSES, 2 * estimate.pauses)

    def _urgent_need(self):
        """Return what those who wait can hope to get soon."""
        account = self._account
        soon = account.rate * account.interval
        return min(account.waiting_cost, account.waiters[0].cost + soon)

    def _need_ahead(self, now):
        """Return the stock in tokens that bridges the time between asks."""
        account = self._account
        demand = min(account.demand.rate(now), account.rate)
        lacking_rate = demand - account.holding.bucket.rate
        return max(0.0, lacking_rate * 2 * account.interval)

    def _spread(self, lacking, holders, is_urgent, now):
        asks = []
        for estimate, holder in self._ranked(holders, now):
            wanted = int(lacking) + 1
            if lacking <= 0 or wanted < MIN_ASK:
                break
            if not is_urgent and estimate < MIN_ASK:
                break
            expected = min(wanted, estimate)
            asks.append(PlannedAsk(holder, wanted, expected, is_urgent))
            lacking -= expected
        return asks

    def _ranked(self, holders, now):
        """Return (level, holder) pairs of who can be asked, richest first."""
        account = self._account
        asked = account.borrowings.asked_holders()
        count = len(holders) + 1
        rate, burst = account.rate / count, account.burst / count
        ranked = []
        for holder in holders:
            estimate = self._estimate(holder, now)
            if holder not in asked and estimate.ask_after <= now:
                ranked.append((estimate.at(now, rate, burst), holder))
        return sorted(ranked, reverse=True)

    def _estimate(self, holder, now):
        estimate = self._estimates_by_holder.get(holder)
        if estimate is None:
            estimate = HolderEstimate(self._account.burst, now)
            self._estimates_by_holder[holder] = estimate
        return estimate
