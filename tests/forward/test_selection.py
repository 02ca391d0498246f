import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import NamingTimes, UpstreamState, Usage, Weights
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.selection import UNKNOWN_AGE_TIME_MS, UpstreamSelector
from mulberryhub.forward.transfer_cost import fixed_transfer_cost
from mulberryhub.forward.work import estimate_work
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward.fakes import (
    FLOW,
    MODEL,
    make_call,
    make_rate_limits,
    make_route,
    make_service,
    make_upstream,
)

VERSION_TIME_MS = 11_000


class Fixture:
    def __init__(self, *upstreams, data_centre="a"):
        self.clock = ManualClock(now=1_000)
        self.fleet_state = FleetState(self.clock)
        self.others = Usage(routers=0)
        self.loads = Loads(lambda: self.others, self.clock)
        self.connect_health = UpstreamHealth(self.clock, Counters())
        self.answer_health = UpstreamHealth(self.clock, Counters())
        self.availability = UpstreamAvailability(
            "n1",
            self.fleet_state,
            make_rate_limits(self.fleet_state, self.clock),
            self.clock,
            Counters(),
        )
        self.selector = UpstreamSelector(
            self.fleet_state,
            ExpectedDelay(self.loads.work).of,
            fixed_transfer_cost(data_centre),
            self.connect_health,
            self.answer_health,
            self.availability,
            VERSION_TIME_MS,
        )
        for upstream in upstreams:
            self.fleet_state.apply(upstream)

    def choose(self, call=None, tried_ids=(), service=None):
        call = call or make_call()
        service = service or make_service()
        return self.selector.choose(call, make_route(), service, set(tried_ids), FLOW)

    def apply_wall_age(self, version, age):
        """Apply the time of a naming that another router saved by its wall clock."""
        named_at = self.clock.wall() - age
        self.fleet_state.apply(NamingTimes(MODEL, {version: named_at}, "r2"))

    def add_load(self, id, requests):
        upstream = self.fleet_state.upstreams_by_id[id]
        work = estimate_work(make_call(), make_service(), upstream, False)
        for _ in range(requests):
            self.loads.record_sent(id, work)


def pool(count, **more):
    return [make_upstream(f"u{n}", n + 1, **more) for n in range(count)]


def test_same_shared_parts_go_to_the_same_upstream():
    fixture = Fixture(*pool(8))
    chosen = {fixture.choose().upstream.id for _ in range(50)}
    assert len(chosen) == 1


def test_busy_upstream_is_replaced_by_the_next():
    fixture = Fixture(*pool(8))
    first = fixture.choose().upstream.id
    fixture.add_load(first, 5)
    assert fixture.choose().upstream.id != first


def test_load_from_other_routers_counts():
    fixture = Fixture(*pool(8))
    first = fixture.choose().upstream.id
    fixture.others = Usage({}, {}, {first: 500.0})
    fixture.clock.advance(200)
    assert fixture.choose().upstream.id != first


def test_draining_and_tried_upstreams_are_not_chosen():
    fixture = Fixture(
        make_upstream("u1", 1),
        make_upstream("u2", 2, state=UpstreamState.DRAINING),
        make_upstream("u3", 3, service="other"),
    )
    assert fixture.choose().upstream.id == "u1"
    assert fixture.choose(tried_ids=["u1"]) is None


def test_long_bodies_stay_in_the_data_centre():
    fixture = Fixture(
        make_upstream("far", 1, data_centre="b"),
        make_upstream("near", 2, data_centre="a"),
    )
    call = make_call(prompt_parts=(("own", 1_000),), body=b"x" * 20_000)
    assert {fixture.choose(call).upstream.id for _ in range(20)} == {"near"}


def test_silent_upstream_is_avoided():
    fixture = Fixture(*pool(4))
    first = fixture.choose().upstream.id
    fixture.add_load(first, 1)
    fixture.clock.advance(1_500)
    assert fixture.choose().upstream.id != first


class TestWeights:
    def make_fixture(self, new=1, old=3):
        fixture = Fixture(
            *[make_upstream(f"new{n}", n + 1, version=2) for n in range(new)],
            *[make_upstream(f"old{n}", n + 50, version=1) for n in range(old)],
        )
        fixture.fleet_state.apply(Weights(MODEL, 1))
        fixture.fleet_state.mark_read_up_to(Topic.OPERATOR, 0, fixture.clock.now())
        fixture.fleet_state.apply(Weights(MODEL, 2))
        return fixture

    def test_newest_weights_are_preferred(self):
        choice = self.make_fixture().choose()
        assert (choice.upstream.id, choice.version) == ("new0", 2)

    def test_older_weights_are_used_while_the_newest_are_busy(self):
        fixture = self.make_fixture()
        fixture.add_load("new0", 20)
        assert fixture.choose().version == 1

    def test_expired_weights_are_not_used(self):
        fixture = self.make_fixture()
        fixture.add_load("new0", 200)
        fixture.clock.advance(VERSION_TIME_MS)
        assert fixture.choose().version == 2

    def test_no_choice_if_all_weights_are_expired(self):
        fixture = self.make_fixture(new=0)
        fixture.clock.advance(VERSION_TIME_MS)
        assert fixture.choose() is None

    @pytest.mark.parametrize("new", [0, 1])
    def test_request_that_would_begin_on_expired_weights_after_its_wait_is_not_sent(
        self, new
    ):
        fixture = self.make_fixture(new=new, old=1)
        fixture.clock.advance(VERSION_TIME_MS - 500)
        assert fixture.choose(tried_ids=["new0"]).version == 1
        fixture.add_load("old0", 50)
        assert fixture.loads.work("old0") > 500
        assert fixture.choose(tried_ids=["new0"]) is None

    def test_old_weights_are_used_after_a_start_if_there_are_no_others(self):
        fixture = Fixture(make_upstream("old", 1, version=1))
        fixture.fleet_state.apply(Weights(MODEL, 2))
        assert fixture.choose().version == 1

    def test_old_weights_of_unknown_age_are_not_used_for_long_after_a_start(self):
        fixture = Fixture(make_upstream("old", 1, version=1))
        fixture.fleet_state.apply(Weights(MODEL, 2))
        fixture.clock.advance(UNKNOWN_AGE_TIME_MS)
        assert fixture.choose() is None

    @pytest.mark.parametrize("wall_age", [0, VERSION_TIME_MS // 2])
    def test_wall_clock_does_not_prolong_the_use_of_weights_of_unknown_age(
        self, wall_age
    ):
        fixture = Fixture(make_upstream("old", 1, version=1))
        fixture.apply_wall_age(2, wall_age)
        assert fixture.choose().version == 1
        fixture.clock.advance(UNKNOWN_AGE_TIME_MS)
        assert fixture.choose() is None

    def test_wall_clock_ends_the_use_of_weights_of_unknown_age(self):
        fixture = Fixture(make_upstream("old", 1, version=1))
        fixture.apply_wall_age(2, VERSION_TIME_MS - 500)
        assert fixture.choose().version == 1
        fixture.clock.advance(500)
        assert fixture.choose() is None

    def test_old_weights_of_an_age_told_after_a_start_are_used(self):
        fixture = Fixture(make_upstream("old", 1, version=1))
        fixture.fleet_state.apply(Weights(MODEL, 2, {2: 1_000}))
        fixture.clock.advance(VERSION_TIME_MS - 1_001)
        assert fixture.choose().version == 1
        fixture.clock.advance(1)
        assert fixture.choose() is None

    def test_upstreams_about_to_load_get_no_requests(self):
        fixture = Fixture(*pool(3))
        fixture.fleet_state.apply_rollout(
            Rollout(fence=1, revision=1, loading=["u0", "u1"])
        )
        assert {fixture.choose().upstream.id for _ in range(20)} == {"u2"}

    def test_stale_rollout_excludes_no_upstream(self):
        fixture = Fixture(*pool(1))
        fixture.fleet_state.apply_rollout(Rollout(fence=1, revision=1, loading=["u0"]))
        fixture.clock.advance(10_000)
        assert fixture.choose().upstream.id == "u0"

    @pytest.mark.parametrize("versions_by_id", [{"new0": {MODEL: 3}}, {}])
    def test_versions_reported_by_a_rollout_are_used(self, versions_by_id):
        fixture = self.make_fixture()
        fixture.fleet_state.apply_rollout(
            Rollout(fence=1, revision=1, versions_by_id=versions_by_id)
        )
        assert fixture.choose().version == (3 if versions_by_id else 2)


def test_services_without_models_balance_by_load():
    fixture = Fixture(*[make_upstream(f"u{n}", n + 1, slots=6) for n in range(3)])
    service = make_service(slots=0, models=[])
    call = make_call(prompt_parts=())
    call.model = None
    chosen = {fixture.choose(call, service=service).upstream.id for _ in range(60)}
    assert len(chosen) == 3


def test_upstreams_that_cut_answers_take_load_from_a_busy_one():
    fixture = Fixture(*pool(4))
    for id in ("u1", "u2", "u3"):
        fixture.answer_health.record_failure(id)
    assert fixture.choose().upstream.id == "u0"
    fixture.add_load("u0", 40)
    assert fixture.choose().upstream.id != "u0"


def test_all_data_centres_rank_upstreams_alike():
    upstreams = [
        make_upstream(f"u{n}", n + 1, data_centre="abcd"[n % 4]) for n in range(12)
    ]
    fixtures = [Fixture(*upstreams, data_centre=name) for name in "abcd"]
    assert len({fixture.choose().upstream.id for fixture in fixtures}) == 1


def test_short_prompts_stay_in_the_data_centre():
    upstreams = [
        make_upstream(f"u{n}", n + 1, data_centre="abcd"[n % 4]) for n in range(12)
    ]
    fixture = Fixture(*upstreams, data_centre="b")
    short = make_call(prompt_parts=(("s", 200), ("own", 600)), body=b"x" * 900)
    data_centres = {fixture.choose(short).upstream.data_centre for _ in range(50)}
    assert data_centres == {"b"}
