"""Retry budgets: a share of the requests of a service, plus a slack.

All routers together may retry up to `ratio` times the requests in a window, plus
`slack`. Each router applies the ratio to its own requests and takes an equal share of
the slack. A router that started within the window may have spent its share before a
restart, so it may use only a small part.
"""

from mulberryhub.base.windows import SlidingSum

RATIO_SHARE = 0.8  # of the allowed ratio, as the windows of routers are not aligned
SLACK_SHARE = 0.7  # of the allowed slack
RESTARTED_SLACK_SHARE = 0.1  # for routers that started within the window


class BudgetRule:
    """The limit on retries over all routers.

    `ratio` is the share of the requests in each window of `window` ms, `slack` a number
    of retries in addition.
    """

    __slots__ = ("window", "ratio", "slack")

    def __init__(self, window, ratio, slack):
        self.window = window
        self.ratio = ratio
        self.slack = slack


class ServiceBudget:
    """The requests and retries of one service in the window."""

    __slots__ = ("requests", "retries")

    def __init__(self, window):
        self.requests = SlidingSum(window)
        self.retries = SlidingSum(window)


class RetryBudget:
    """Retry budgets by service.

    `count_routers()` returns the number of routers that share the slack, 0 while it is
    not known.
    """

    __slots__ = ("_rule", "_count_routers", "_clock", "_started", "_budgets_by_service")

    def __init__(self, rule, count_routers, clock):
        self._rule = rule
        self._count_routers = count_routers
        self._clock = clock
        self._started = clock.now()
        self._budgets_by_service = {}

    def record_request(self, service):
        """Record a client's request for `service`."""
        self._budget(service).requests.add(1, self._clock.now())

    def try_spend(self, service):
        """Record a retry if the budget allows it; return whether it does."""
        now = self._clock.now()
        budget = self._budget(service)
        allowed = budget.requests.total_at(now) * self._rule.ratio * RATIO_SHARE
        allowed += self._slack(now)
        if budget.retries.total_at(now) + 1 > allowed:
            return False
        budget.retries.add(1, now)
        return True

    def _slack(self, now):
        """Return this router's share of the slack."""
        routers = self._count_routers()
        if not routers:
            return 0
        is_recently_started = now - self._started < self._rule.window
        share = RESTARTED_SLACK_SHARE if is_recently_started else SLACK_SHARE
        return self._rule.slack * share / routers

    def _budget(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ServiceBudget(self._rule.window)
            self._budgets_by_service[service] = budget
        return budget
