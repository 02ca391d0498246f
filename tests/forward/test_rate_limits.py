"""Rate limits in answers of upstreams, some of which arrive late."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.rate_limits import LIMIT_RETENTION_MS
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward.call import AnswerFacts
from tests.forward.fakes import FLOW, make_rate_limits, make_upstream

UPSTREAM = make_upstream("u1", started=5)


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.fleet_state = FleetState(self.clock)
        self.rate_limits = make_rate_limits(self.fleet_state, self.clock)

    def record(self, rate, sent_at=None, is_success=True, has_limit=True, sealed=True):
        facts = AnswerFacts("id-1", False, None, sealed, None)
        facts.has_rate_limit = has_limit
        facts.rate_limit = rate
        sent_at = self.clock.now() if sent_at is None else sent_at
        self.clock.advance(1)
        self.rate_limits.record_answer(UPSTREAM, facts, sent_at, is_success)

    def record_unlimited(self, **more):
        self.record(None, has_limit=False, **more)

    def try_take(self):
        deadline = self.clock.now() + 150
        return self.rate_limits.try_take(UPSTREAM, FLOW, deadline)

    @property
    def rate(self):
        return self.fleet_state.rate_limits.rate(UPSTREAM)

    def record_count(self):
        return len(self.fleet_state.observations_since(0))


def test_answer_without_a_limit_ends_it():
    fixture = Fixture()
    fixture.record(4)
    assert fixture.rate == 4
    fixture.clock.advance(10)
    fixture.record_unlimited()
    assert fixture.rate is None
    fixture.clock.advance(10)
    fixture.record(3)
    assert fixture.rate == 3


@pytest.mark.parametrize(
    "more", [{"is_success": False}, {"sealed": False}, {"sent_at": 900}]
)
def test_failed_unsealed_or_earlier_answer_does_not_end_a_limit(more):
    fixture = Fixture()
    fixture.record(4)
    fixture.clock.advance(10)
    fixture.record_unlimited(**more)
    assert fixture.rate == 4


def test_earlier_answer_lowers_a_limit_but_does_not_raise_it():
    fixture = Fixture()
    fixture.record(4)
    fixture.record(8, sent_at=900)
    assert fixture.rate == 4
    fixture.record(2, sent_at=900)
    assert fixture.rate == 2
    fixture.clock.advance(10)
    fixture.record(8)
    assert fixture.rate == 8


def test_limit_is_shared_once_a_change():
    fixture = Fixture()
    for rate in (4, 4, 4.2, 3.9, 4):
        fixture.clock.advance(10)
        fixture.record(rate)
    assert fixture.rate == 4
    assert fixture.fleet_state.revision == 1
    fixture.record(1)
    assert fixture.fleet_state.revision == 2
    assert fixture.record_count() == 1


def test_unreadable_limit_is_ignored_and_does_not_end_a_limit():
    fixture = Fixture()
    fixture.record(None)
    assert fixture.rate is None
    fixture.record(4)
    fixture.clock.advance(10)
    fixture.record(None)
    assert fixture.rate == 4


def test_answers_keep_a_limit_from_being_forgotten():
    fixture = Fixture()
    fixture.record(4)
    for _ in range(3):
        fixture.clock.advance(LIMIT_RETENTION_MS - 10)
        fixture.record(4)
    assert fixture.rate == 4


def test_limit_of_zero_lets_a_request_through_now_and_then():
    fixture = Fixture()
    fixture.record(0)
    taken = 0
    for _ in range(1_000):
        fixture.clock.advance(20)
        taken += fixture.try_take()
    assert 3 <= taken <= 8


def test_request_that_is_not_sent_returns_its_permit():
    fixture = Fixture()
    fixture.record(1)
    assert fixture.try_take()
    fixture.rate_limits.put_back(UPSTREAM, FLOW)
    assert fixture.try_take()
    assert not fixture.try_take()
    assert fixture.rate_limits.retry_after(UPSTREAM, FLOW) > 0


def test_requests_without_a_permit_are_charged():
    fixture = Fixture()
    fixture.record(1)
    for _ in range(3):
        fixture.rate_limits.charge(UPSTREAM)
    fixture.clock.advance(1_500)
    assert not fixture.try_take()


def test_no_permit_is_requested_after_the_deadline():
    fixture = Fixture()
    fixture.record(1)
    now = fixture.clock.now()
    assert not fixture.rate_limits.try_take(UPSTREAM, FLOW, now)
    assert fixture.rate_limits.try_take(UPSTREAM, FLOW, now + 1)
