from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.removals import RELISTING_TIME_MS, DelayedRemovals
from mulberryhub.fleet.state import UNKNOWN_POSITION, FleetState, Topic
from tests.fleet.test_state import make_upstream


class RemovalsHarness:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.fleet_state = FleetState(self.clock)
        self.removals = DelayedRemovals(self.fleet_state, self.clock)
        self.fleet_state.apply(make_upstream("u1", 1))
        self.removals.record_answer()

    def simulate_outage(self):
        self.removals.record_failure(self.clock.now())
        self.clock.advance(5_000)
        self.removals.record_answer()

    def run(self, duration):
        for _ in range(duration // 500):
            self.clock.advance(500)
            self.removals.record_answer()
            self.receive_current_update()

    def receive_current_update(self):
        """Apply an update of another router that makes the topic current."""
        self.fleet_state.mark_read_up_to(
            Topic.UPSTREAMS, UNKNOWN_POSITION, self.clock.now()
        )
        self.removals.apply_due()

    def has_upstream(self):
        return "u1" in self.fleet_state.upstreams_by_id


def test_removal_takes_effect_at_once():
    harness = RemovalsHarness()
    harness.run(1_000)
    harness.removals.remove("u1", 2)
    assert not harness.has_upstream()


def test_removal_after_outage_is_delayed():
    harness = RemovalsHarness()
    harness.simulate_outage()
    harness.removals.remove("u1", 2)
    assert harness.has_upstream()
    harness.run(RELISTING_TIME_MS - 500)
    assert harness.has_upstream()
    harness.run(1_000)
    assert not harness.has_upstream()


def test_upstream_listed_again_is_not_removed():
    harness = RemovalsHarness()
    harness.simulate_outage()
    harness.removals.remove("u1", 2)
    harness.fleet_state.apply(make_upstream("u1", 3))
    harness.run(2 * RELISTING_TIME_MS)
    assert harness.has_upstream()


def test_upstream_missing_from_listing_is_removed():
    harness = RemovalsHarness()
    harness.fleet_state.apply(make_upstream("u2", 2))
    harness.run(500)
    harness.removals.remove_unlisted(["u2"], end=3)
    assert set(harness.fleet_state.upstreams_by_id) == {"u2"}


def test_delayed_removal_takes_effect_after_router_stops_reading():
    harness = RemovalsHarness()
    harness.simulate_outage()
    harness.removals.remove("u1", 2)
    harness.clock.advance(RELISTING_TIME_MS - 1)
    harness.receive_current_update()
    assert harness.has_upstream()
    harness.clock.advance(1)
    harness.receive_current_update()
    assert not harness.has_upstream()


def test_delayed_removal_waits_without_current_data():
    harness = RemovalsHarness()
    harness.simulate_outage()
    harness.removals.remove("u1", 2)
    harness.clock.advance(2 * RELISTING_TIME_MS)
    harness.removals.apply_due()
    assert harness.has_upstream()


def test_removal_is_not_delayed_if_only_this_router_was_cut_off():
    harness = RemovalsHarness()
    harness.removals.record_failure(harness.clock.now())
    for _ in range(5):
        harness.clock.advance(1_000)
        harness.receive_current_update()
    harness.removals.record_answer()
    harness.removals.remove("u1", 2)
    assert not harness.has_upstream()


def test_store_return_reported_by_another_router_delays_removals():
    harness = RemovalsHarness()
    harness.receive_current_update()
    harness.removals.record_failure(harness.clock.now())
    harness.clock.advance(5_000)
    harness.receive_current_update()
    harness.removals.record_answer()
    harness.removals.remove("u1", 2)
    assert harness.has_upstream()
    harness.run(RELISTING_TIME_MS + 500)
    assert not harness.has_upstream()
