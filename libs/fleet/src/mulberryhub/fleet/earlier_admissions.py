"""What routers admitted before the present ones started, as saved in the store.

Workspaces that ask for more than their rate use up their limit within a part of the
window. What they used is saved at short intervals; how much they used from then until
the routers ended is assumed from their demand.
"""

from mulberryhub.fleet.admissions import SLOT_MS


class Period:
    """An amount that was admitted from `start` to `end` (ms), evenly."""

    __slots__ = ("start", "end", "amount")

    def __init__(self, start, end, amount):
        self.start = start
        self.end = end
        self.amount = amount

    def within(self, begin, end):
        """Return the part of this period between two times; it may be empty."""
        start, end = max(self.start, begin), min(self.end, end)
        if end <= start:
            return Period(start, start, 0)
        share = (end - start) / (self.end - self.start)
        return Period(start, end, self.amount * share)


class EarlierAdmissions:
    """The SavedAdmissions of routers, the newest of each."""

    __slots__ = ("_clock", "_saved_by_router")

    def __init__(self, clock):
        self._clock = clock
        self._saved_by_router = {}

    def apply(self, saved):
        """Add a record that was read from the store."""
        age = max(0, self._clock.wall() - saved.at)
        self._saved_by_router[saved.router] = (saved, self._clock.now() - age)

    def periods(self, workspace, window, limit, until):
        """Return the Periods of the `window` ms up to now, but before `until`.

        `until` is the time (ms) since when all admissions are known otherwise. At most
        `limit` is assumed for the time in which nothing was saved. Each record is of
        all routers, so the one with the largest amount counts.
        """
        begin = self._clock.now() - window
        candidates = [
            [
                period.within(begin, until)
                for period in _periods(saved, saved_at, workspace, limit, until)
            ]
            for saved, saved_at in self._saved_by_router.values()
            if until - window < saved_at
        ]
        return max(candidates, key=total, default=[])


def total(periods):
    """Return the amount of all periods together."""
    return sum(period.amount for period in periods)


def _periods(saved, saved_at, workspace, limit, until):
    amounts = saved.admitted.slots_by_workspace.get(workspace, ())
    newest_start = saved_at - saved.admitted.phase
    periods = []
    for age, amount in enumerate(amounts):
        start = newest_start - age * SLOT_MS
        periods.append(Period(start, start + SLOT_MS, amount))
    demand = saved.rate_by_workspace.get(workspace, 0) * (until - saved_at) / 1000
    unsaved = max(0, min(demand, limit - sum(amounts)))
    return [*periods, Period(saved_at, until, unsaved)]
