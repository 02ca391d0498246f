from random import Random

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.forward.budget import BudgetRule, RetryBudget

RULE = BudgetRule(window=10_000, ratio=0.2, slack=58)


def use_up(budget):
    count = 0
    while budget.try_spend("s"):
        count += 1
    return count


def make_budget(clock, routers=1):
    return RetryBudget(RULE, lambda: routers, clock)


def test_routers_together_stay_within_the_budget():
    clock = ManualClock()
    budgets = [RetryBudget(RULE, lambda: 9, clock) for _ in range(9)]
    for budget in budgets:
        for _ in range(100):
            budget.record_request("s")
    spent = sum(use_up(budget) for budget in budgets)
    assert 0 < spent <= RULE.ratio * 900 + RULE.slack


def test_budget_recovers_after_the_window():
    clock = ManualClock()
    budget = RetryBudget(RULE, lambda: 1, clock)
    use_up(budget)
    clock.advance(RULE.window + 200)
    assert budget.try_spend("s")


def test_services_have_separate_budgets():
    budget = RetryBudget(RULE, lambda: 1, ManualClock())
    use_up(budget)
    assert budget.try_spend("other")


def test_no_slack_while_the_number_of_routers_is_unknown():
    assert use_up(make_budget(ManualClock(), routers=0)) == 0


class Simulation:
    """Routers that retry as often as allowed and are restarted repeatedly."""

    def __init__(self, routers):
        self.clock = ManualClock()
        self.budgets = [make_budget(self.clock, routers) for _ in range(routers)]
        self.requests = []
        self.retries = []

    def restart(self, number):
        self.budgets[number] = make_budget(self.clock, len(self.budgets))

    def step(self, has_requests):
        for budget in self.budgets:
            if has_requests:
                budget.record_request("s")
                self.requests.append(self.clock.now())
            self.retries += [self.clock.now()] * use_up(budget)
        self.clock.advance(100)

    def is_within_rule(self, end):
        """Return whether the window that ends at `end` ms is within the rule."""
        start = end - RULE.window
        requests = sum(start < at <= end for at in self.requests)
        retries = sum(start < at <= end for at in self.retries)
        return retries <= RULE.ratio * requests + RULE.slack


@pytest.mark.parametrize("routers", [6, 9, 90])
@pytest.mark.parametrize("restarted_share", [0.3, 1])
@pytest.mark.parametrize("restart_interval", [34, 90])
def test_restarted_routers_stay_within_the_budget(
    routers, restarted_share, restart_interval
):
    random = Random(routers)
    simulation = Simulation(routers)
    for number in range(400):
        if number % restart_interval == restart_interval - 1 and number > 110:
            for index in random.sample(range(routers), int(restarted_share * routers)):
                simulation.restart(index)
        simulation.step(has_requests=number % 10 == 0)
    assert simulation.retries
    assert all(
        simulation.is_within_rule(end) for end in range(0, simulation.clock.now(), 100)
    )
