import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.config.inventory import Rules, Upstream
from mulberryhub.routing.chain import text_request
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.news import RoutingNews
from mulberryhub.routing.policies import make_policy
from mulberryhub.routing.refusal import refuse_if_late
from mulberryhub.routing.request import Scope

ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(2)]
REQUEST = text_request(Scope("a", "small", "1"), "part " * 4_500)


def busy_decision(tokens):
    policy = make_cost_policy(ManualClock(), Rules)
    busy = {engine.id: tokens for engine in ENGINES}
    policy.heard("router-b", RoutingNews(busy))
    return policy.choose(REQUEST, ENGINES, 0)


def test_request_that_would_be_late_is_refused_as_not_run():
    with pytest.raises(HubError) as caught:
        refuse_if_late(busy_decision(1_000_000), 0, 30_000)
    assert caught.value.code is Code.QUEUE_FULL
    assert caught.value.ran is Ran.NOT_RUN
    assert 20_000 <= caught.value.retry_after <= 20_300


def test_request_in_time_passes():
    refuse_if_late(busy_decision(500_000), 0, 30_000)


def test_policy_that_does_not_weigh_refuses_nothing():
    decision = make_policy("random", ManualClock()).choose(REQUEST, ENGINES, 0)
    refuse_if_late(decision, 0, -1)
