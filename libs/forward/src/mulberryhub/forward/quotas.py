"""Rates and bursts of workspaces, kept over all routers together.

Each router knows what the others admitted in the window as of their last report. What
is asked until the next report may be more than the room that is left; each request is
then admitted with the chance that makes all routers together use up the room. Without
reports, a router keeps to an equal share of the whole limit.
"""

from random import random, uniform

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.windows import SlidingSum

log = module_logger(__name__)

RATE_TIME = 1_000  # ms over which demand is measured
REFRESH = 200  # ms for which the sum over other routers is kept
TOLERANCE_USED = 0.3  # of what may go beyond the limit, while routers hear each other
REPORT_AGE = 600  # ms by which what is known of other routers is behind
SHORTEST_RETRY = 200  # ms
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

    `room` is what may be admitted until the next refresh, `chance` that of each
    request, `used` what the others admitted in the window, as far as it is known.
    """

    __slots__ = ("asked", "admitted", "used", "room", "chance", "refreshed_at")

    def __init__(self, window):
        self.asked = SlidingSum(RATE_TIME)
        self.admitted = SlidingSum(window)
        self.used = 0
        self.room = 0
        self.chance = 1
        self.refreshed_at = None


class Quotas:
    """Admits requests of workspaces.

    `read_others()` returns the Use of other routers or None; `count_routers()` the
    number of routers that may be admitting, this one too.
    """

    __slots__ = (
        "_started",
        "_rule",
        "_read_others",
        "_count_routers",
        "_clock",
        "_accounts_by_name",
    )

    def __init__(self, rule, read_others, count_routers, clock):
        self._started = clock.now()
        self._rule = rule
        self._read_others = read_others
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
        if account.room <= 0 or random() >= account.chance:
            self._note_refusal(account, workspace, cost, now)
            raise Refusal(Reason.OVER_QUOTA, self._pause(account, workspace, cost))
        account.room -= cost
        account.admitted.add(cost, now)

    def give_back(self, workspace, cost):
        """Count less for a request that was admitted and did not run."""
        account = self._accounts_by_name.get(workspace.name)
        if account is not None:
            account.room += cost
            account.admitted.add(-cost, self._clock.now())

    def windows(self):
        """Return what was admitted in the window, by workspace."""
        now = self._clock.now()
        sums = {
            name: item.admitted.at(now) for name, item in self._accounts_by_name.items()
        }
        return {name: amount for name, amount in sums.items() if amount > 0}

    def rates(self):
        """Return the rates per s that are asked for, by workspace."""
        now = self._clock.now()
        return {
            name: account.asked.at(now) * 1000 / RATE_TIME
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
        limit = self._rule.limit(workspace, TOLERANCE_USED)
        other_rate = 0
        used = limit * unknown
        if others is not None:
            other_rate = others.rate_by_workspace.get(workspace.name, 0)
            used += others.window_by_workspace.get(workspace.name, 0)
        # What the others admit since they told of it, at the chance that holds here.
        unheard = other_rate * REPORT_AGE / 1000
        account.used = used + unheard * account.chance
        account.room = limit - own - account.used
        asked = unheard + account.asked.at(now) * REPORT_AGE / RATE_TIME
        account.chance = 1 if asked <= 0 else min(1, max(0, account.room) / asked)

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

    def _pause(self, account, workspace, cost):
        """Return the ms after which the rate has room again, spread over callers."""
        if workspace.rate <= 0:
            return LONGEST_RETRY
        missing = cost - account.room
        needed = missing * 1000 / workspace.rate
        return min(LONGEST_RETRY, max(SHORTEST_RETRY, needed) * uniform(1, 1.5))
