"""Departures and pauses of upstreams, interleaved with store entries and restarts."""

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, floats, integers, sampled_from

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Removal, UpstreamState
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.call import AnswerFacts
from tests.forward.fakes import FLOW, make_rate_limits, make_upstream

IDS = ("u1", "u2")


def make_facts(is_shutting_down=False, pause=None):
    return AnswerFacts(
        "id-1", pause is not None, None, True, None, is_shutting_down, pause
    )


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.fleet_state = FleetState(self.clock)
        self.availability = UpstreamAvailability(
            "n1",
            self.fleet_state,
            make_rate_limits(self.fleet_state, self.clock),
            self.clock,
            Counters(),
        )

    def accepts_requests(self, upstream):
        return self.availability.accepts_requests(upstream, FLOW)

    def time_until_open(self, *upstreams):
        return self.availability.time_until_open(upstreams, FLOW)


def test_departing_upstream_stays_closed_when_registered_again():
    fixture = Fixture()
    upstream = make_upstream("u1", 1, started=5)
    fixture.fleet_state.apply(upstream)
    fixture.availability.record_answer(upstream, make_facts(is_shutting_down=True))
    fixture.clock.advance(10_000_000)
    fixture.fleet_state.apply(Removal("u1", 2))
    again = make_upstream("u1", 3, started=5)
    fixture.fleet_state.apply(again)
    assert not fixture.accepts_requests(again)
    assert fixture.time_until_open(again) is None


@pytest.mark.parametrize(
    "later_started", [6, 1], ids=["right clock", "clock behind at the restart"]
)
def test_later_incarnation_accepts_requests(later_started):
    fixture = Fixture()
    upstream = make_upstream("u1", 1, started=5)
    fixture.availability.record_answer(
        upstream, make_facts(is_shutting_down=True, pause=60_000)
    )
    assert fixture.accepts_requests(make_upstream("u1", 2, started=later_started))
    assert fixture.accepts_requests(make_upstream("u2", 2, started=5))


@pytest.mark.parametrize("pause", [1, 400.5, 31_536_000_000])
def test_pause_lasts_for_its_time_and_the_shortest_is_returned(pause):
    fixture = Fixture()
    first, second = make_upstream("u1", 1), make_upstream("u2", 2)
    fixture.availability.record_answer(first, make_facts(pause=pause))
    fixture.availability.record_answer(second, make_facts(pause=pause + 500))
    assert fixture.time_until_open(first, second) == pause
    assert not fixture.accepts_requests(first)
    fixture.clock.advance(int(pause) + 1)
    assert fixture.accepts_requests(first)
    assert not fixture.accepts_requests(second)


def test_shorter_pause_does_not_end_a_longer_one():
    fixture = Fixture()
    upstream = make_upstream("u1", 1)
    fixture.availability.record_answer(upstream, make_facts(pause=5_000))
    fixture.availability.record_answer(upstream, make_facts(pause=100))
    fixture.clock.advance(1_000)
    assert not fixture.accepts_requests(upstream)


class Interleavings(RuleBasedStateMachine):
    """Two routers that learn of the same upstreams in any order."""

    def __init__(self):
        super().__init__()
        self.first, self.second = Fixture(), Fixture()
        self.offset = 0
        self.started_by_id = dict.fromkeys(IDS, 1)
        self.departed = set()
        self.paused_until = {}

    @rule(id=sampled_from(IDS), state=sampled_from(UpstreamState))
    def upstream_is_registered(self, id, state):
        self.offset += 1
        upstream = make_upstream(id, self.offset, state, started=self.started_by_id[id])
        for fixture in (self.first, self.second):
            fixture.fleet_state.apply(upstream)

    @rule(id=sampled_from(IDS))
    def upstream_is_removed(self, id):
        self.offset += 1
        for fixture in (self.first, self.second):
            fixture.fleet_state.apply(Removal(id, self.offset))

    @rule(id=sampled_from(IDS))
    def upstream_restarts_with_same_id(self, id):
        self.started_by_id[id] += 1
        self.upstream_is_registered(id, UpstreamState.READY)

    @rule(id=sampled_from(IDS))
    def upstream_announces_departure(self, id):
        upstream = self._upstream(id)
        self.first.availability.record_answer(
            upstream, make_facts(is_shutting_down=True)
        )
        self.departed.add((id, upstream.started))

    @rule(id=sampled_from(IDS), pause=floats(0, 5_000))
    def upstream_asks_for_a_pause(self, id, pause):
        upstream = self._upstream(id)
        self.first.availability.record_answer(upstream, make_facts(pause=pause))
        key = (id, upstream.started)
        until = self.first.clock.now() + pause
        self.paused_until[key] = max(until, self.paused_until.get(key, 0))

    @rule(pause=integers(1, 3_000), is_second_frozen=booleans())
    def time_passes(self, pause, is_second_frozen):
        self.first.clock.advance(pause)
        if not is_second_frozen:
            self.second.clock.advance(pause)

    @rule()
    def departures_are_shared(self):
        for departure in self.first.fleet_state.observations_since(0):
            self.second.fleet_state.apply(departure)

    @invariant()
    def departed_and_paused_upstreams_get_no_requests(self):
        for id in IDS:
            upstream = self._upstream(id)
            key = (id, upstream.started)
            paused = self.paused_until.get(key, 0) > self.first.clock.now()
            accepts_requests = self.first.accepts_requests(upstream)
            assert accepts_requests == (key not in self.departed and not paused)

    @invariant()
    def shared_departures_apply_to_the_other_router(self):
        for departure in self.second.fleet_state.observations_since(0):
            upstream = make_upstream(departure.id, 1, started=departure.started)
            assert not self.second.accepts_requests(upstream)

    def _upstream(self, id):
        return make_upstream(id, self.offset, started=self.started_by_id[id])


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(max_examples=60, stateful_step_count=30)
