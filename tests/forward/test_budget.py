from random import Random

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.forward.budget import BudgetRule, RetryBudget

RULE = BudgetRule(window=10_000, ratio=0.2, slack=58)


def spend_all(budget):
    count = 0
    while budget.spend("s"):
        count += 1
    return count


def make_budget(clock, routers=1):
    return RetryBudget(RULE, lambda: routers, clock)


def test_all_routers_together_keep_to_the_budget():
    clock = ManualClock()
    budgets = [RetryBudget(RULE, lambda: 9, clock) for _ in range(9)]
    for budget in budgets:
        for _ in range(100):
            budget.note_request("s")
    spent = sum(spend_all(budget) for budget in budgets)
    assert 0 < spent <= RULE.ratio * 900 + RULE.slack


def test_the_budget_returns_with_time():
    clock = ManualClock()
    budget = RetryBudget(RULE, lambda: 1, clock)
    spend_all(budget)
    clock.advance(RULE.window + 200)
    assert budget.spend("s")


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(RULE, lambda: 1, ManualClock())
    spend_all(budget)
    assert budget.spend("other")


def test_a_router_that_does_not_know_the_others_has_no_share_of_the_slack():
    assert spend_all(make_budget(ManualClock(), routers=0)) == 0


class Day:
    """Routers that repeat as often as they may, and are killed again and again."""

    def __init__(self, routers):
        self.clock = ManualClock()
        self.budgets = [make_budget(self.clock, routers) for _ in range(routers)]
        self.requests = []
        self.repeats = []

    def restart(self, number):
        self.budgets[number] = make_budget(self.clock, len(self.budgets))

    def step(self, is_asked):
        for budget in self.budgets:
            if is_asked:
                budget.note_request("s")
                self.requests.append(self.clock.now())
            self.repeats += [self.clock.now()] * spend_all(budget)
        self.clock.advance(100)

    def is_kept_to(self, end):
        """Tell whether the window that ends at `end` ms keeps to the rule."""
        start = end - RULE.window
        requests = sum(start < at <= end for at in self.requests)
        repeats = sum(start < at <= end for at in self.repeats)
        return repeats <= RULE.ratio * requests + RULE.slack


@pytest.mark.parametrize("routers", [6, 9, 90])
@pytest.mark.parametrize("share", [0.3, 1])
@pytest.mark.parametrize("gap", [34, 90])
def test_routers_that_are_killed_again_keep_to_the_budget(routers, share, gap):
    random = Random(routers)
    day = Day(routers)
    for number in range(400):
        if number % gap == gap - 1 and number > 110:
            for index in random.sample(range(routers), int(share * routers)):
                day.restart(index)
        day.step(is_asked=number % 10 == 0)
    assert day.repeats
    assert all(day.is_kept_to(end) for end in range(0, day.clock.now(), 100))
