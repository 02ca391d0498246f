"""Budget of repeated sends: a share of a service's requests, and a reserve.

All routers together may send again `ratio` times the requests of a window plus a
slack. Each keeps to the ratio of its own requests and an equal share of the slack. A
router that started within the window may have used a share before, so it uses little.
"""

from mulberryhub.forward.windows import SlidingSum

RATIO_USED = 0.8  # of the allowed ratio, as windows of routers do not start together
SLACK_USED = 0.7  # of the allowed slack
YOUNG_SLACK_USED = 0.1  # by routers that started within the window


class BudgetRule:
    """The allowed ratio in each window of ms, and the slack over all routers."""

    __slots__ = ("window", "ratio", "slack")

    def __init__(self, window, ratio, slack):
        self.window = window
        self.ratio = ratio
        self.slack = slack


class ServiceBudget:
    """Requests and repeated sends of one service in the window."""

    __slots__ = ("requests", "repeats")

    def __init__(self, window):
        self.requests = SlidingSum(window)
        self.repeats = SlidingSum(window)


class RetryBudget:
    """Budgets by service.

    `count_routers()` is the number that share the slack, 0 while they are not known.
    """

    __slots__ = ("_rule", "_count_routers", "_clock", "_started", "_budgets_by_service")

    def __init__(self, rule, count_routers, clock):
        self._rule = rule
        self._count_routers = count_routers
        self._clock = clock
        self._started = clock.now()
        self._budgets_by_service = {}

    def note_request(self, service):
        """Note a client's request for `service`."""
        self._budget(service).requests.add(1, self._clock.now())

    def spend(self, service):
        """Take one repeated send and return whether there was one left."""
        now = self._clock.now()
        budget = self._budget(service)
        allowed = budget.requests.at(now) * self._rule.ratio * RATIO_USED
        allowed += self._slack(now)
        if budget.repeats.at(now) + 1 > allowed:
            return False
        budget.repeats.add(1, now)
        return True

    def _slack(self, now):
        """Return this router's share of the slack."""
        routers = self._count_routers()
        if not routers:
            return 0
        is_young = now - self._started < self._rule.window
        used = YOUNG_SLACK_USED if is_young else SLACK_USED
        return self._rule.slack * used / routers

    def _budget(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ServiceBudget(self._rule.window)
            self._budgets_by_service[service] = budget
        return budget
