from hypothesis import given, settings, strategies as st

from mulberryhub.routing.fair_queue import QUANTUM, FairQueue, Ticket


def serve(queue, count):
    served = []
    while len(served) < count and (ticket := queue.next()):
        queue.take(ticket)
        served.append(ticket)
    return served


def queue_of(tickets, weights=None):
    queue = FairQueue(lambda workspace: (weights or {}).get(workspace, 1))
    for workspace, cost in tickets:
        queue.push(Ticket(workspace, cost, None))
    return queue


def tokens_by_workspace(tickets):
    tokens = {}
    for ticket in tickets:
        tokens[ticket.workspace] = tokens.get(ticket.workspace, 0) + ticket.cost
    return tokens


costs = st.integers(min_value=1, max_value=30_000)


@settings(derandomize=True, deadline=None)
@given(st.lists(costs, min_size=30, max_size=60), st.lists(costs, min_size=30))
def test_workspaces_that_wait_get_the_same_tokens(first, second):
    queue = queue_of([("a", c) for c in first] + [("b", c) for c in second])
    served = {"a": 0, "b": 0}
    waiting = {"a": len(first), "b": len(second)}
    while all(waiting.values()):
        (ticket,) = serve(queue, 1)
        served[ticket.workspace] += ticket.cost
        waiting[ticket.workspace] -= 1
        assert abs(served["a"] - served["b"]) <= 2 * (30_000 + QUANTUM)


def test_one_with_many_requests_does_not_delay_the_other():
    queue = queue_of([("noisy", 1_000)] * 500 + [("quiet", 1_000)])
    order = [ticket.workspace for ticket in serve(queue, 10)]
    assert "quiet" in order


def test_weights_share_the_tokens():
    tickets = [("a", 1_000), ("b", 1_000)] * 200
    served = serve(queue_of(tickets, {"a": 3}), 160)
    tokens = tokens_by_workspace(served)
    assert 2.5 < tokens["a"] / tokens["b"] < 3.5


def test_all_are_served_in_order_within_a_workspace():
    tickets = [("a", 9_000), ("b", 10), ("a", 20), ("b", 50_000), ("a", 1)]
    served = serve(queue_of(tickets), 10)
    assert [t.cost for t in served if t.workspace == "a"] == [9_000, 20, 1]
    assert [t.cost for t in served if t.workspace == "b"] == [10, 50_000]


def test_cancelled_ticket_is_not_served():
    queue = queue_of([("a", 1), ("b", 2)])
    ticket = queue.next()
    queue.cancel(ticket)
    assert [t.cost for t in serve(queue, 5)] == [3 - ticket.cost]
    assert len(queue) == 0


def test_cost_ahead_counts_others_only_up_to_their_turns():
    queue = queue_of([("noisy", 1_000)] * 500)
    assert queue.cost_ahead("quiet") == QUANTUM
    assert queue.cost_ahead("noisy") == 500_000
