from mulberryhub.base.clock import ManualClock
from mulberryhub.forward.budget import BudgetRule, RetryBudget

RULE = BudgetRule(window=10_000, ratio=0.2, slack=58)


def spend_all(budget):
    count = 0
    while budget.spend("s"):
        count += 1
    return count


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
