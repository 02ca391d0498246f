import msgspec
import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.config.inventory import Rules, Upstream
from mulberryhub.routing.cost import make_cost_policy
from mulberryhub.routing.prefix_chain import chat_request
from mulberryhub.routing.request import Scope
from mulberryhub.routing.update import RoutingUpdate

ENGINES = [Upstream(f"engine-{i}", "engine", "a", "") for i in range(10)]
DOCUMENT = "part " * 8_000


class Report:
    running = 4
    queued = 20
    queued_tokens = 200_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def policy(clock):
    return make_cost_policy(clock, Rules)


def request(question="which seal?", document=DOCUMENT):
    messages = [("system", "rules"), ("user", document), ("user", question)]
    return chat_request(Scope("prasertkit", "small", "1"), messages)


def complete_request(policy, decision, engine_id, cached_tokens):
    policy.record_sent(decision, engine_id)
    policy.record_first_token(decision, engine_id, cached_tokens, 50)
    policy.record_ended(decision, engine_id)


def test_new_policy_chooses_the_same_engine_as_a_trained_one(clock, policy):
    for _ in range(5):
        decision = policy.choose(request(), ENGINES, clock.now())
        complete_request(policy, decision, decision.ranked_engine_ids[0], 8_000)
    new_policy = make_cost_policy(clock, Rules)
    assert (
        new_policy.choose(request(), ENGINES, 0).ranked_engine_ids[0]
        == decision.ranked_engine_ids[0]
    )


def test_requests_with_an_uncached_prefix_go_to_the_engine_of_the_first(clock, policy):
    first = policy.choose(request("one"), ENGINES, clock.now())
    policy.record_sent(first, first.ranked_engine_ids[0])
    for question in ("two", "three"):
        later = policy.choose(request(question), ENGINES, clock.now())
        assert later.ranked_engine_ids[0] == first.ranked_engine_ids[0]
        assert later.uncached_tokens(
            later.ranked_engine_ids[0]
        ) < first.uncached_tokens(first.ranked_engine_ids[0])


@pytest.mark.parametrize("source", ["own", "peer", "report"])
def test_overloaded_engine_is_replaced_by_the_next(clock, policy, source):
    first, second = policy.choose(request(), ENGINES, clock.now()).ranked_engine_ids[:2]
    if source == "own":
        for _ in range(20):
            policy.record_sent(policy.choose(request(), ENGINES, clock.now()), first)
    elif source == "peer":
        policy.apply_update("router-b", RoutingUpdate({first: 200_000}))
    else:
        policy.record_report(first, Report(), 0)
    assert policy.choose(request(), ENGINES, clock.now()).ranked_engine_ids[0] == second


@pytest.mark.parametrize("source", ["peer", "report"])
def test_outdated_load_of_peers_and_reports_is_ignored(clock, policy, source):
    first = policy.choose(request(), ENGINES, clock.now()).ranked_engine_ids[0]
    if source == "peer":
        policy.apply_update("router-b", RoutingUpdate({first: 200_000}))
    else:
        policy.record_report(first, Report(), 0)
    clock.advance(30_000)
    assert policy.choose(request(), ENGINES, clock.now()).ranked_engine_ids[0] == first


def test_prefix_holder_seen_by_a_peer_is_evaluated(clock, policy):
    peer = make_cost_policy(clock, Rules)
    decision = peer.choose(request(), ENGINES, clock.now())
    last = decision.ranked_engine_ids[-1]
    complete_request(peer, decision, last, 8_000)
    data = msgspec.msgpack.encode(peer.update_for("router-b"))
    policy.apply_update("router-b", msgspec.msgpack.decode(data, type=RoutingUpdate))
    assert last in policy.choose(request(), ENGINES, clock.now()).uncached_tokens_by_id
    assert peer.update_for("router-b").sightings == []
    assert len(peer.update_for("router-c").sightings) == 1


def test_prefixes_of_an_old_incarnation_are_discarded(clock, policy):
    decision = policy.choose(request(), ENGINES, clock.now())
    last = decision.ranked_engine_ids[-1]
    complete_request(policy, decision, last, 8_000)
    policy.discard_engine_state(last)
    assert (
        last not in policy.choose(request(), ENGINES, clock.now()).uncached_tokens_by_id
    )


@pytest.mark.parametrize("is_cached", [True, False])
def test_hit_rates_are_learned_from_answers(clock, policy, is_cached):
    for _ in range(50):
        decision = policy.choose(request(), ENGINES, clock.now())
        complete_request(
            policy, decision, decision.ranked_engine_ids[0], 9_000 if is_cached else 0
        )
        clock.advance(8_000)
    uncached_tokens = policy.choose(request(), ENGINES, clock.now()).uncached_tokens(
        decision.ranked_engine_ids[0]
    )
    assert uncached_tokens < 1_000 if is_cached else uncached_tokens > 7_000


@pytest.mark.parametrize("weight", [0.0, 4.0])
def test_recomputation_weight_decides_between_recomputing_and_queueing(clock, weight):
    rules = Rules(latency_weight=1.0, recomputation_weight=weight)
    policy = make_cost_policy(clock, lambda: rules)
    decision = policy.choose(request(), ENGINES, clock.now())
    first = decision.ranked_engine_ids[0]
    complete_request(policy, decision, first, 8_000)
    policy.apply_update("router-b", RoutingUpdate({first: 14_000}))
    chosen = policy.choose(request(), ENGINES, clock.now()).ranked_engine_ids[0]
    assert (chosen == first) == (weight > 0)


def test_workspace_that_exceeds_its_share_gets_a_lower_priority(clock, policy):
    requests = [
        chat_request(Scope(workspace, "small", "1"), [("user", "which seal?")])
        for workspace in ["noisy"] * 40 + ["a", "b", "c"]
    ]
    for one in requests:
        policy.record_sent(policy.choose(one, ENGINES, clock.now()), "engine-1")
    noisy, quiet = (
        policy.choose(one, ENGINES, clock.now()) for one in (requests[0], requests[-1])
    )
    assert noisy.priority < quiet.priority == 0


def test_documents_are_spread_over_engines(clock, policy):
    firsts = {
        policy.choose(request(document=f"{i} " * 4_500), ENGINES, 0).ranked_engine_ids[
            0
        ]
        for i in range(40)
    }
    assert len(firsts) >= 8
