import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.config.inventory import Upstream
from mulberryhub.routing.policies import make_policy, policy_names
from mulberryhub.routing.prefix_chain import text_request
from mulberryhub.routing.request import Scope

ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(10)]


def request(text):
    return text_request(Scope("prasertkit", "small", "1"), text)


@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("name", policy_names())
def test_load_returns_to_zero_when_a_request_ends(name, is_answered):
    policy = make_policy(name, ManualClock())
    decision = policy.choose(request("a b c"), ENGINES, 0)
    assert len(set(decision.ranked_engine_ids)) == len(decision.ranked_engine_ids) > 1
    policy.record_sent(decision, decision.ranked_engine_ids[0])
    if is_answered:
        policy.record_first_token(decision, decision.ranked_engine_ids[0], 0, 10)
    policy.record_ended(decision, decision.ranked_engine_ids[0])
    policy.discard_engine_state(decision.ranked_engine_ids[0])
    load = policy.state.loads.get(decision.ranked_engine_ids[0])
    assert (load.own_tokens, load.own_request_count) == (0, 0)


@pytest.mark.parametrize("name", policy_names())
def test_order_is_empty_without_engines(name):
    assert (
        make_policy(name, ManualClock()).choose(request("a"), [], 0).ranked_engine_ids
        == []
    )


def test_rendezvous_order_is_independent_of_the_seed():
    text = "part " * 5_000
    orders = [
        make_policy("rendezvous", ManualClock(), seed).choose(request(text), ENGINES, 0)
        for seed in range(3)
    ]
    assert len({tuple(decision.ranked_engine_ids) for decision in orders}) == 1
