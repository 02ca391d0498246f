"""Learned speeds in a pool of upstreams that differ in speed."""

from random import Random, seed

import pytest

from mulberryhub.fleet.records import Usage
from mulberryhub.forward.event_times import MIN_PAUSE_TOKENS
from mulberryhub.forward.speeds import UpstreamSpeeds
from tests.forward import speed_fleet
from tests.forward.fakes import make_call, make_service
from tests.forward.speed_fleet import SPEEDS, Fleet, capacity
from tests.forward.test_heavy_load import LATENCY_TARGET_MS, WARM_UP_MS

POOL = SPEEDS * 5
DURATION_MS = 25_000


def run(load, speeds=POOL, random_seed=1, duration=DURATION_MS, **more):
    """Return a Fleet after `load` times its capacity for `duration` ms."""
    seed(random_seed)
    fleet = Fleet(speeds, **more)
    fleet.run(Random(random_seed), load * capacity(speeds), duration)
    return fleet


def late_share(fleet, since=WARM_UP_MS):
    waits = [wait for sent_at, wait, *_ in fleet.waits if sent_at >= since]
    return sum(wait > LATENCY_TARGET_MS for wait in waits) / len(waits)


def estimated(router, id):
    return router.speeds.speeds_by_id().get(id, 1)


@pytest.mark.parametrize("random_seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("load", "remaining_share"), [(0.5, 0.2), (0.6, 0.2), (0.7, 0.3), (0.9, 0.75)]
)
def test_fewer_responses_are_late(load, remaining_share, random_seed):
    """Guards against slow upstreams that receive as many requests as fast ones."""
    before = late_share(run(load, random_seed=random_seed, learns=False))
    after = late_share(run(load, random_seed=random_seed))
    assert before > 0.1
    assert after <= remaining_share * before


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_fast_upstreams_are_not_chosen_by_all_routers_at_once(load):
    """Guards against queues at fast upstreams while others are idle."""
    fleet = run(load)
    counts = {}
    for sent_at, _, id, _ in fleet.waits:
        second = counts.setdefault(sent_at // 1_000, {})
        second[id] = second.get(id, 0) + 1
    mean_count = load * capacity(POOL) / len(POOL)
    busiest = max(max(second.values()) for second in list(counts.values())[:-1])
    assert busiest <= 3 * mean_count
    fast = [wait for _, wait, id, _ in fleet.waits if fleet.engines_by_id[id].speed > 1]
    slow = [wait for _, wait, id, _ in fleet.waits if fleet.engines_by_id[id].speed < 1]
    assert sum(fast) / len(fast) < sum(slow) / len(slow)


def test_first_events_alone_tell_speeds(monkeypatch):
    """Guards against services with short answers whose upstreams count as equal."""
    monkeypatch.setattr(speed_fleet, "ANSWER_TOKENS", MIN_PAUSE_TOKENS - 1)
    router = run(0.7).routers[0]
    for index, speed in enumerate(POOL):
        learned = estimated(router, f"u{index}")
        assert (learned < 1, learned > 1) == (speed < 1, speed > 1)


def test_similar_upstreams_are_served_as_before():
    """Guards against requests that move because of differences below a third."""
    speeds = (0.88, 1.0, 1.14) * 5
    assert run(0.7, speeds).counts_by_id == run(0.7, speeds, learns=False).counts_by_id


def test_change_of_speed_is_followed_at_a_limited_rate():
    """Guards against estimates that stay, and against those that jump."""
    fleet = run(0.6)
    router = fleet.routers[0]
    assert estimated(router, "u0") < 0.7 and estimated(router, "u2") > 1.4
    fleet.engines_by_id["u0"].set_speed(1.6)
    fleet.engines_by_id["u2"].set_speed(0.6)
    rate = 0.6 * capacity(POOL)
    fleet.run(Random(2), rate, 2_000)
    assert estimated(router, "u2") > 1
    fleet.run(Random(3), rate, 40_000)
    assert estimated(router, "u0") > 1.3 and estimated(router, "u2") < 0.75


def test_new_incarnation_starts_at_the_usual_speed():
    """Guards against speeds of processes that ended."""
    fleet = run(0.6)
    fleet.start_engine(0, 1.0, offset=100, started=7)
    fleet.run(Random(2), 0.6 * capacity(POOL), 1_500)
    for router in fleet.routers:
        router.speeds.processing_cost(make_call(), make_service())
        assert estimated(router, "u0") == 1


def test_router_that_hears_no_others_learns_by_itself():
    """Guards against the need of reports, and against guesses from few responses."""
    router = run(0.7, duration=60_000, unheard_count=1).routers[0]
    for index, speed in enumerate(POOL):
        learned = estimated(router, f"u{index}")
        assert learned == 1 or (learned < 1) == (speed < 1)
    assert any(estimated(router, f"u{index}") < 1 for index in range(len(POOL)))


def test_router_that_starts_takes_over_what_others_know():
    """Guards against a router that sends too much to slow upstreams at its start."""
    fleet = run(0.6)
    others = fleet.routers[0].others
    speeds = UpstreamSpeeds(fleet.fleet_state, lambda: others, fleet.clock)
    fleet.clock.advance(1_000)
    speeds.processing_cost(make_call(), make_service())
    assert speeds.speeds_by_id()["u0"] < 0.75 and speeds.speeds_by_id()["u2"] > 1.33


def test_estimates_return_to_the_usual_speed_without_responses():
    """Guards against upstreams that are avoided for good."""
    fleet = run(0.6)
    router = fleet.routers[0]
    router.others = Usage(routers=0)
    for _ in range(60):
        fleet.clock.advance(1_000)
        router.speeds.processing_cost(make_call(), make_service())
    assert not router.speeds.speeds_by_id()


def test_slow_idle_upstream_does_not_win_against_fast_idle_one():
    """Guards against long prompts that are processed where it takes longest."""
    fleet = run(0.6)
    call = make_call(prompt_parts=(("own", 9_000),))
    cost = fleet.routers[0].speeds.processing_cost(call, make_service())
    upstreams = fleet.fleet_state.upstreams_by_id
    assert cost(upstreams["u0"]) > 50 > 0 == cost(upstreams["u1"])
    assert cost(upstreams["u2"]) < -30
