import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.config.inventory import Rules, Upstream
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.policies import make_policy
from mulberryhub.routing.prefix_chain import text_request
from mulberryhub.routing.refusal import refuse_if_late
from mulberryhub.routing.request import Scope
from mulberryhub.routing.update import RoutingUpdate

ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(2)]
REQUEST = text_request(Scope("a", "small", "1"), "part " * 4_500)


def decide_with_queued_tokens(tokens):
    policy = make_cost_policy(ManualClock(), Rules)
    tokens_by_engine = {engine.id: tokens for engine in ENGINES}
    policy.apply_update("router-b", RoutingUpdate(tokens_by_engine))
    return policy.choose(REQUEST, ENGINES, 0)


def test_late_request_is_refused_as_not_run():
    with pytest.raises(ApiError) as raised:
        refuse_if_late(decide_with_queued_tokens(1_000_000), 0, 30_000)
    assert raised.value.code is ErrorCode.QUEUE_FULL
    assert raised.value.execution_state is ExecutionState.NOT_RUN
    assert 20_000 <= raised.value.retry_after <= 20_300


def test_request_within_its_deadline_is_accepted():
    refuse_if_late(decide_with_queued_tokens(500_000), 0, 30_000)


def test_request_without_an_estimate_is_accepted():
    decision = make_policy("random", ManualClock()).choose(REQUEST, ENGINES, 0)
    refuse_if_late(decision, 0, -1)
