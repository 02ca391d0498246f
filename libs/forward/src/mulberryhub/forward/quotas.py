"""Enforces the rates and bursts of workspaces over all routers together.

Routers that hear each other use the part of a limit that is in proportion to their
number, as the others may be cut off from them and use theirs. What they admitted in the
window is known as of their last report. What remained then is divided: a part of it in
equal shares, and the rest for the coordinator, which lends it to the routers that need
more. So all routers together stay within the limit, however fast demand rises. If the
demand until the next report exceeds the remaining quota, each request is admitted with
the probability at which all routers together use it up.

A router that no longer hears others keeps to its equal share of what remained. It takes
its part of the whole limit once the others must have noticed.
"""

from math import ceil, floor
from random import random, uniform

from mulberryhub.base.green import Event
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.admissions import SLOT_MS, Admitted
from mulberryhub.fleet.earlier_admissions import EarlierAdmissions, total
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.workspace_usage import RATE_WINDOW_MS, WorkspaceUsage

log = module_logger(__name__)

REFRESH_INTERVAL_MS = 200  # for reading the sum over other routers
# Share of the tolerance that is used at any demand while routers receive reports.
MIN_TOLERANCE_SHARE = 0.25
# Demand of this duration is kept as a reserve within the rest of the tolerance.
SURGE_RESERVE_MS = 800
REPORT_AGE_MS = 450  # by which reports of other routers are out of date
# In which admissions may be unknown to other routers: two reports and two refreshes.
UNREPORTED_MS = 900
LENT_SHARE = 0.8  # of the remaining quota, which the coordinator lends
BORROWED_DEMAND_MS = 100  # of the demand at a router that one loan covers
LOAN_VALIDITY_MS = 500
BORROW_RETRY_MS = 100  # after a loan that was refused
NO_LOANS_MS = 500  # after a request for a loan that no router answered
MAX_NEWS_AGE_MS = 600  # of others; after it, this router may be cut off from them
LONE_AFTER_MS = 3_000  # without news, by when all others have noticed it
# Of its equal share, used until then; the others may divide the rest without it.
UNNOTICED_SHARE = 0.6
MIN_RETRY_AFTER_MS = 200
MIN_RETRY_PROBABILITY = 0.05  # limits the time that clients are told to wait
MAX_RETRY_AFTER_MS = 4_000


class Quotas:
    """Admits requests within the quotas of their workspaces.

    `read_others()` returns the Usage of other routers or None. `read_admitted(name)`
    returns what they admitted of a workspace in the window, and `read_news_age()` the
    ms since they were heard. `count_routers()` returns the number of routers that may
    be admitting, including this one and those that it does not hear. `earlier` are the
    EarlierAdmissions of routers that have ended.
    `borrow(name, cost)` returns the cost that the coordinator admits in place of this
    router, or None if no router lends, and `read_lending_share()` which share of the
    lent part this router may lend, from 0 to 1.
    """

    __slots__ = (
        "_started",
        "_rule",
        "_read_others",
        "_read_admitted",
        "_read_news_age",
        "_count_routers",
        "_earlier",
        "_borrow",
        "_read_lending_share",
        "_clock",
        "_usage_by_name",
    )

    def __init__(
        self,
        rule,
        read_others,
        read_admitted,
        read_news_age,
        count_routers,
        borrow,
        read_lending_share,
        clock,
        earlier=None,
    ):
        self._started = clock.now()
        self._rule = rule
        self._read_others = read_others
        self._read_admitted = read_admitted
        self._read_news_age = read_news_age
        self._count_routers = count_routers
        self._earlier = earlier or EarlierAdmissions(clock)
        self._borrow = borrow
        self._read_lending_share = read_lending_share
        self._clock = clock
        self._usage_by_name = {}

    def admit(self, workspace, cost):
        """Charge `cost` to `workspace`, or raise Refusal."""
        if not workspace.rate and not workspace.burst:
            return
        now = self._clock.now()
        usage = self._refreshed_usage(workspace, now)
        usage.demand.add(cost, now)
        usage.add_cost(cost)
        if random() < usage.admission_probability(cost) and (
            usage.spend(cost, now) or self._try_borrow(usage, workspace, cost)
        ):
            return
        self._log_refusal(usage, workspace, cost, now)
        raise Refusal(Reason.OVER_QUOTA, self._retry_after(usage))

    def lend(self, workspace, cost):
        """Admit up to `cost` in place of another router.

        Return the cost that is admitted, or None while this router lends nothing. It is
        a whole number, as all costs that are admitted and reported.
        """
        if not self._read_lending_share():
            return None
        now = self._clock.now()
        usage = self._refreshed_usage(workspace, now)
        lent = max(0, floor(min(cost, usage.remaining)))
        usage.remaining -= lent
        usage.admitted.add(lent, now)
        usage.lent.add(lent, now)
        return lent

    def refund(self, workspace, cost):
        """Refund the cost of a request that was admitted but did not run."""
        usage = self._usage_by_name.get(workspace.name)
        if usage is not None:
            usage.remaining += cost
            usage.admitted.add(-cost, self._clock.now())

    def admitted(self):
        """Return what was admitted in the window, as Admitted."""
        now = self._clock.now()
        slots = {
            name: item.admitted.by_slots(SLOT_MS, now)
            for name, item in self._usage_by_name.items()
            if item.admitted.total_at(now) > 0
        }
        return Admitted(now % SLOT_MS, slots)

    def demand_rates(self):
        """Return the demand per second, by workspace."""
        now = self._clock.now()
        return {
            name: round(usage.demand.total_at(now) * 1000 / RATE_WINDOW_MS)
            for name, usage in self._usage_by_name.items()
            if usage.demand.total_at(now) > 0
        }

    def _usage_of(self, workspace):
        usage = self._usage_by_name.get(workspace.name)
        if usage is None:
            usage = WorkspaceUsage(self._rule.window)
            self._usage_by_name[workspace.name] = usage
        return usage

    def _refreshed_usage(self, workspace, now):
        usage = self._usage_of(workspace)
        refreshed_at = usage.refreshed_at
        if refreshed_at is None or now - refreshed_at >= REFRESH_INTERVAL_MS:
            self._refresh(usage, workspace, now)
        return usage

    def _try_borrow(self, usage, workspace, cost):
        """Borrow for a request of `cost`; return whether it is admitted.

        Requests that come while a loan is on its way wait for it. If no router lends,
        all that remains is divided into equal shares.
        """
        while not usage.use_borrowed(cost, self._clock.now()):
            if self._clock.now() < usage.no_loans_until:
                return usage.spend(cost, self._clock.now())
            if self._clock.now() < usage.borrow_at:
                return False
            if usage.pending_loan is None:
                self._borrow_more(usage, workspace, cost)
            else:
                usage.pending_loan.wait()
        return True

    def _borrow_more(self, usage, workspace, cost):
        asked_at = self._clock.now()
        demand_rate = usage.demand.total_at(asked_at) * 1000 / RATE_WINDOW_MS
        wanted = max(cost, ceil(demand_rate * BORROWED_DEMAND_MS / 1000))
        usage.pending_loan = Event()
        lent = None
        try:
            lent = self._borrow(workspace.name, wanted)
        finally:
            self._record_loan(usage, workspace, wanted, lent, asked_at)
            pending_loan, usage.pending_loan = usage.pending_loan, None
            pending_loan.send()

    def _record_loan(self, usage, workspace, wanted, lent, asked_at):
        now = self._clock.now()
        if lent is None:
            if now >= usage.no_loans_until:
                usage.no_loans_at = now
            usage.no_loans_until = now + NO_LOANS_MS
            self._refresh(usage, workspace, now)
            return
        usage.borrowed += lent
        usage.loans.add(lent, now)
        usage.borrowed_until = asked_at + LOAN_VALIDITY_MS
        if lent < wanted:
            usage.borrow_at = now + BORROW_RETRY_MS

    def _share(self, usage, heard, now):
        """Return this router's share of what remains for the `heard` routers."""
        if now < usage.no_loans_until:
            has_news = self._has_news_since(usage.no_loans_at, now)
            return (1 if has_news else UNNOTICED_SHARE) / heard
        lent_share = LENT_SHARE * self._read_lending_share()
        return min(1, (1 - LENT_SHARE) / heard + lent_share)

    def _has_news_since(self, start, now):
        """Return whether others were heard after `start`, so that they are in reach."""
        return self._read_news_age() <= min(now - start, MAX_NEWS_AGE_MS)

    def _refresh(self, usage, workspace, now):
        usage.refreshed_at = now
        others = self._read_others()
        routers = usage.routers = max(self._count_routers(), 1)
        usage.heard = 1 if others is None else 1 + others.routers
        if others is None and routers > 1:
            self._refresh_alone(usage, workspace, routers, now)
            return
        heard = usage.heard
        demand_rate = usage.demand.total_at(now) * 1000 / RATE_WINDOW_MS
        if others is not None:
            demand_rate += others.rate_by_workspace.get(workspace.name, 0)
        limit = self._limit(workspace, others, demand_rate) * min(1, heard / routers)
        used_before = self._used_before(workspace, limit, others, now)
        used_by_others = used_before + self._read_admitted(workspace.name)
        usage.used_by_others = used_by_others
        remaining = limit - usage.admitted.total_at(now) - used_by_others
        unreported = usage.admitted.recent(UNREPORTED_MS, now)
        share = self._share(usage, heard, now)
        usage.remaining = (remaining + unreported) * share - unreported
        if now < usage.no_loans_until:
            usage.round_remaining()
        expected_demand = demand_rate * REPORT_AGE_MS / 1000
        usage.probability = (
            1 if expected_demand <= 0 else min(1, max(0, remaining) / expected_demand)
        )

    def _refresh_alone(self, usage, workspace, routers, now):
        """Refresh at a router that hears no other of the `routers`."""
        limit = self._rule.limit(workspace, MIN_TOLERANCE_SHARE)
        known_limit = limit - self._used_before(workspace, limit, None, now)
        is_noticed = self._read_news_age() >= LONE_AFTER_MS
        share = (1 if is_noticed else UNNOTICED_SHARE) / routers
        usage.remaining = known_limit * share - usage.used_here(now)
        usage.probability = 1

    def _limit(self, workspace, others, demand_rate):
        """Return what all routers together may admit in a window.

        The tolerance is used except for a reserve for the demand that may arise before
        it is reported. After a restart of any router none of it is used, as what was
        admitted before is known only roughly then.
        """
        shortest_uptime = self.uptime()
        if others is not None:
            shortest_uptime = min(shortest_uptime, others.min_uptime)
        if shortest_uptime < self._rule.window:
            return self._rule.limit(workspace, 0)
        reserve = demand_rate * SURGE_RESERVE_MS / 1000
        minimum = self._rule.limit(workspace, MIN_TOLERANCE_SHARE)
        return max(minimum, self._rule.limit(workspace, 1) - reserve)

    def uptime(self):
        """Return the time since the start in ms."""
        return self._clock.now() - self._started

    def _used_before(self, workspace, limit, others, now):
        """Return what may have been used in the time of which no router has records.

        If all routers were restarted, they may have used up the limit before. It is
        taken as used evenly over the window, unless it was saved that it was used in a
        shorter time.
        """
        unknown_share = 1 - self._known_time(others, now) / self._rule.window
        if unknown_share <= 0:
            return 0
        earlier = total(self._earlier_periods(workspace, others, now))
        return max(limit * unknown_share, earlier)

    def earlier_periods(self, workspace):
        """Return the Periods of the window of which no router has records."""
        return self._earlier_periods(workspace, self._read_others(), self._clock.now())

    def _earlier_periods(self, workspace, others, now):
        limit = self._rule.limit(workspace, 1)
        known_since = now - self._known_time(others, now)
        return self._earlier.periods(
            workspace.name, self._rule.window, limit, known_since
        )

    def _known_time(self, others, now):
        """Return the ms for which some router has records."""
        known_time = now - self._started
        if others is not None:
            known_time = max(known_time, others.max_uptime)
        return known_time

    def _log_refusal(self, usage, workspace, cost, now):
        log.info(
            "over quota",
            workspace=workspace.name,
            cost=cost,
            admitted_here=usage.admitted.total_at(now),
            used_elsewhere=round(usage.used_by_others),
            room=round(usage.remaining),
            heard=usage.heard,
            routers=usage.routers,
            news_age_ms=self._read_news_age(),
            chance=round(usage.probability, 3),
            age_ms=now - usage.refreshed_at,
        )

    @staticmethod
    def _retry_after(usage):
        """Return the time in ms after which to retry.

        It grows as the probability of admission falls.
        """
        probability = usage.probability if usage.remaining > 0 else 0
        retry_after = MIN_RETRY_AFTER_MS / max(probability, MIN_RETRY_PROBABILITY)
        return min(MAX_RETRY_AFTER_MS, retry_after) * uniform(1, 1.5)
