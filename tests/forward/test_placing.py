import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.fleet.records import Rollout, State, Use, Weights
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.placing import Placer
from mulberryhub.forward.withdrawal import Withdrawal
from mulberryhub.forward.work import work_of
from mulberryhub.upstream.health import Health
from tests.forward.fakes import (
    MODEL,
    make_call,
    make_route,
    make_service,
    make_upstream,
)

VERSION_TIME = 11_000  # ms


class World:
    def __init__(self, *upstreams, data_centre="a"):
        self.clock = ManualClock(now=1_000)
        self.beliefs = Beliefs(self.clock)
        self.others = Use(routers=0)
        self.loads = Loads(lambda: self.others, self.clock)
        self.health = Health(self.clock, Counters())
        self.steadiness = Health(self.clock, Counters())
        self.withdrawal = Withdrawal("n1", self.beliefs, self.clock, Counters())
        self.placer = Placer(
            self.beliefs,
            self.loads,
            self.health,
            self.steadiness,
            self.withdrawal,
            data_centre,
            VERSION_TIME,
        )
        for upstream in upstreams:
            self.beliefs.learn(upstream)

    def choose(self, call=None, tried=(), service=None):
        call = call or make_call()
        service = service or make_service()
        return self.placer.choose(call, make_route(), service, set(tried))

    def load(self, id, requests):
        upstream = self.beliefs.upstreams_by_id[id]
        work = work_of(make_call(), make_service(), upstream, False)
        for _ in range(requests):
            self.loads.started(id, work)


def pool(count, **more):
    return [make_upstream(f"u{n}", n + 1, **more) for n in range(count)]


def test_the_same_shared_parts_go_to_the_same_upstream():
    world = World(*pool(8))
    chosen = {world.choose().upstream.id for _ in range(50)}
    assert len(chosen) == 1


def test_a_busy_upstream_is_left_for_the_next():
    world = World(*pool(8))
    first = world.choose().upstream.id
    world.load(first, 5)
    assert world.choose().upstream.id != first


def test_what_other_routers_send_counts():
    world = World(*pool(8))
    first = world.choose().upstream.id
    world.others = Use({}, {}, {first: 500.0})
    world.clock.advance(200)
    assert world.choose().upstream.id != first


def test_leaving_and_tried_upstreams_are_left_out():
    world = World(
        make_upstream("u1", 1),
        make_upstream("u2", 2, state=State.DRAINING),
        make_upstream("u3", 3, service="other"),
    )
    assert world.choose().upstream.id == "u1"
    assert world.choose(tried=["u1"]) is None


def test_long_bodies_stay_in_the_data_centre():
    world = World(
        make_upstream("far", 1, data_centre="b"),
        make_upstream("near", 2, data_centre="a"),
    )
    call = make_call(parts=(("own", 1_000),), body=b"x" * 20_000)
    assert {world.choose(call).upstream.id for _ in range(20)} == {"near"}


def test_an_upstream_that_is_silent_is_left():
    world = World(*pool(4))
    first = world.choose().upstream.id
    world.load(first, 1)
    world.clock.advance(1_500)
    assert world.choose().upstream.id != first


class TestWeights:
    def make(self, new=1, old=3):
        world = World(
            *[make_upstream(f"new{n}", n + 1, version=2) for n in range(new)],
            *[make_upstream(f"old{n}", n + 50, version=1) for n in range(old)],
        )
        world.beliefs.learn(Weights(MODEL, 1))
        world.beliefs.learn(Weights(MODEL, 2))
        return world

    def test_newest_weights_go_first(self):
        choice = self.make().choose()
        assert (choice.upstream.id, choice.version) == ("new0", 2)

    def test_older_weights_help_while_the_newest_are_busy(self):
        world = self.make()
        world.load("new0", 20)
        assert world.choose().version == 1

    def test_weights_past_their_time_serve_no_more(self):
        world = self.make()
        world.load("new0", 200)
        world.clock.advance(VERSION_TIME)
        assert world.choose().version == 2

    def test_nothing_is_left_where_all_weights_are_past_their_time(self):
        world = self.make(new=0)
        world.clock.advance(VERSION_TIME)
        assert world.choose() is None

    def test_after_a_start_old_weights_serve_where_there_are_no_others(self):
        world = World(make_upstream("old", 1, version=1))
        world.beliefs.learn(Weights(MODEL, 2))
        assert world.choose().version == 1

    def test_upstreams_about_to_load_get_nothing(self):
        world = World(*pool(3))
        world.beliefs.learn_rollout(Rollout(fence=1, revision=1, loading=["u0", "u1"]))
        assert {world.choose().upstream.id for _ in range(20)} == {"u2"}

    def test_a_rollout_that_is_not_heard_of_any_more_keeps_nothing_out(self):
        world = World(*pool(1))
        world.beliefs.learn_rollout(Rollout(fence=1, revision=1, loading=["u0"]))
        world.clock.advance(10_000)
        assert world.choose().upstream.id == "u0"

    @pytest.mark.parametrize("told", [{"new0": {MODEL: 3}}, {}])
    def test_versions_told_by_a_rollout_count(self, told):
        world = self.make()
        world.beliefs.learn_rollout(Rollout(fence=1, revision=1, versions_by_id=told))
        assert world.choose().version == (3 if told else 2)


def test_plain_services_share_by_load():
    world = World(*[make_upstream(f"u{n}", n + 1, slots=6) for n in range(3)])
    service = make_service(slots=0, models=[])
    call = make_call(parts=())
    call.model = None
    chosen = {world.choose(call, service=service).upstream.id for _ in range(60)}
    assert len(chosen) == 3


def test_upstreams_that_cut_answers_share_the_load_of_one_that_did_not():
    world = World(*pool(4))
    for id in ("u1", "u2", "u3"):
        world.steadiness.failed(id)
    assert world.choose().upstream.id == "u0"
    world.load("u0", 40)
    assert world.choose().upstream.id != "u0"


def test_all_data_centres_have_one_order_of_upstreams_for_a_prompt():
    upstreams = [
        make_upstream(f"u{n}", n + 1, data_centre="abcd"[n % 4]) for n in range(12)
    ]
    worlds = [World(*upstreams, data_centre=name) for name in "abcd"]
    assert len({world.choose().upstream.id for world in worlds}) == 1


def test_short_prompts_stay_in_the_data_centre():
    upstreams = [
        make_upstream(f"u{n}", n + 1, data_centre="abcd"[n % 4]) for n in range(12)
    ]
    world = World(*upstreams, data_centre="b")
    short = make_call(parts=(("s", 200), ("own", 600)), body=b"x" * 900)
    places = {world.choose(short).upstream.data_centre for _ in range(50)}
    assert places == {"b"}
