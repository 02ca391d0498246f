"""Rates and bursts of workspaces, kept over all routers together.

Each router knows what the others admitted in the window as of their last report. What
is asked until the next report may be more than the room that is left; each request is
then admitted with the chance that makes all routers together use up the room. Without
reports, a router keeps to an equal share of the whole limit.
"""

from random import random, uniform

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.admissions import SLOT, Admitted
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.windows import SlidingSum

log = module_logger(__name__)

RATE_TIME = 1_000  # ms over which demand is measured
REFRESH = 200  # ms for which the sum over other routers is kept
TOLERANCE_USED = 0.25  # of what may go beyond the limit, while routers hear each other
SURGE_TIME = 800  # ms of what is asked for that is left of the tolerance at least
REPORT_AGE = 450  # ms by which what is known of other routers is behind
EQUAL_SHARES = 3  # of the room that one router may admit until it knows more
COST_SHARE = 0.05  # of a request's cost in the mean
MOST_FOR_SMALL = 10  # by which the chance of a small request is raised at most
LEAST_FOR_LARGE = 0.7  # to which that of a large one falls at most
SHORTEST_RETRY = 200  # ms
LEAST_CHANCE = 0.05
LONGEST_RETRY = 4_000  # ms


class QuotaRule:
    """The window (ms) in which limits hold, and what may go beyond them.

    `overage` is a share of the limit, `slack` an amount.
    """

    __slots__ = ("window", "overage", "slack")

    def __init__(self, window, overage, slack):
        self.window = window
        self.overage = overage
        self.slack = slack

    def limit(self, workspace, tolerance):
        """Return what a workspace may use in a window, with a part of the tolerance."""
        limit = workspace.rate * self.window / 1000 + workspace.burst
        return limit + tolerance * (limit * self.overage + self.slack)


class Account:
    """What one workspace asked for and was admitted here.

    `mean_cost` is that of its requests, `room` what may be admitted until the next
    refresh, `chance` that of each request, and `used` what the others admitted in the
    window, as far as it is known.
    """

    __slots__ = (
        "asked",
        "admitted",
        "used",
        "room",
        "chance",
        "mean_cost",
        "refreshed_at",
    )

    def __init__(self, window):
        self.asked = SlidingSum(RATE_TIME)
        self.admitted = SlidingSum(window)
        self.used = 0
        self.room = 0
        self.chance = 1
        self.mean_cost = 0
        self.refreshed_at = None

    def note_cost(self, cost):
        """Take the cost of a request into the mean."""
        if not self.mean_cost:
            self.mean_cost = cost
        self.mean_cost += COST_SHARE * (cost - self.mean_cost)

    def chance_of(self, cost):
        """Return the chance of a request of `cost`.

        It is higher for small requests, which take little of the room, and not much
        lower for large ones, so that these are not starved.
        """
        if self.chance >= 1:
            return 1
        size = self.mean_cost / cost if cost else MOST_FOR_SMALL
        return self.chance * min(MOST_FOR_SMALL, max(LEAST_FOR_LARGE, size))


class Quotas:
    """Admits requests of workspaces.

    `read_others()` returns the Use of other routers or None, `read_admitted(name)` what
    they admitted of a workspace in the window; `count_routers()` the number of routers
    that may be admitting, this one too.
    """

    __slots__ = (
        "_started",
        "_rule",
        "_read_others",
        "_read_admitted",
        "_count_routers",
        "_clock",
        "_accounts_by_name",
    )

    def __init__(self, rule, read_others, read_admitted, count_routers, clock):
        self._started = clock.now()
        self._rule = rule
        self._read_others = read_others
        self._read_admitted = read_admitted
        self._count_routers = count_routers
        self._clock = clock
        self._accounts_by_name = {}

    def admit(self, workspace, cost):
        """Count `cost` for `workspace` or raise Refusal."""
        if not workspace.rate and not workspace.burst:
            return
        now = self._clock.now()
        account = self._account(workspace)
        if account.refreshed_at is None or now - account.refreshed_at >= REFRESH:
            self._refresh(account, workspace, now)
        account.asked.add(cost, now)
        account.note_cost(cost)
        if account.room <= 0 or random() >= account.chance_of(cost):
            self._note_refusal(account, workspace, cost, now)
            raise Refusal(Reason.OVER_QUOTA, self._pause(account))
        account.room -= cost
        account.admitted.add(cost, now)

    def give_back(self, workspace, cost):
        """Count less for a request that was admitted and did not run."""
        account = self._accounts_by_name.get(workspace.name)
        if account is not None:
            account.room += cost
            account.admitted.add(-cost, self._clock.now())

    def windows(self):
        """Return what was Admitted in the window."""
        now = self._clock.now()
        slots = {
            name: item.admitted.by_slots(SLOT, now)
            for name, item in self._accounts_by_name.items()
            if item.admitted.at(now) > 0
        }
        return Admitted(now % SLOT, slots)

    def rates(self):
        """Return the rates per s that are asked for, by workspace."""
        now = self._clock.now()
        return {
            name: round(account.asked.at(now) * 1000 / RATE_TIME)
            for name, account in self._accounts_by_name.items()
            if account.asked.at(now) > 0
        }

    def _account(self, workspace):
        account = self._accounts_by_name.get(workspace.name)
        if account is None:
            account = Account(self._rule.window)
            self._accounts_by_name[workspace.name] = account
        return account

    def _refresh(self, account, workspace, now):
        account.refreshed_at = now
        own = account.admitted.at(now)
        others = self._read_others()
        routers = max(self._count_routers(), 1)
        unknown = self._unknown_share(others, now)
        if others is None and routers > 1:
            whole = self._rule.limit(workspace, 1) * (1 - unknown)
            account.room = whole / routers - own
            account.chance = 1
            return
        asked_rate = account.asked.at(now) * 1000 / RATE_TIME
        if others is not None:
            asked_rate += others.rate_by_workspace.get(workspace.name, 0)
        limit = self._limit(workspace, others, asked_rate)
        used = limit * unknown + self._read_admitted(workspace.name)
        account.used = used
        room = limit - own - used
        # Demand is not known at once where it shifts between routers.
        account.room = room * min(1, EQUAL_SHARES / routers)
        asked = asked_rate * REPORT_AGE / 1000
        account.chance = 1 if asked <= 0 else min(1, max(0, room) / asked)

    def _limit(self, workspace, others, asked_rate):
        """Return what all routers together may admit in a window.

        It uses the tolerance but for what may be asked before routers hear of it; none
        after a restart anywhere, as what was admitted is known only roughly then.
        """
        youngest = self.uptime()
        if others is not None:
            youngest = min(youngest, others.youngest)
        if youngest < self._rule.window:
            return self._rule.limit(workspace, 0)
        surge = asked_rate * SURGE_TIME / 1000
        least = self._rule.limit(workspace, TOLERANCE_USED)
        return max(least, self._rule.limit(workspace, 1) - surge)

    def uptime(self):
        """Return the ms since the start."""
        return self._clock.now() - self._started

    def _unknown_share(self, others, now):
        """Return the share of the window of which no router knows anything.

        Where all were restarted, they may have used up the limit before.
        """
        known = now - self._started
        if others is not None:
            known = max(known, others.uptime)
        return max(0, 1 - known / self._rule.window)

    def _note_refusal(self, account, workspace, cost, now):
        log.info(
            "over quota",
            workspace=workspace.name,
            cost=cost,
            admitted_here=account.admitted.at(now),
            used_elsewhere=round(account.used),
            room=round(account.room),
            chance=round(account.chance, 3),
            age_ms=now - account.refreshed_at,
        )

    @staticmethod
    def _pause(account):
        """Return the ms after which to come back; longer the less is admitted now."""
        chance = account.chance if account.room > 0 else 0
        pause = SHORTEST_RETRY / max(chance, LEAST_CHANCE)
        return min(LONGEST_RETRY, pause) * uniform(1, 1.5)
