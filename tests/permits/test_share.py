from mulberryhub.base.clock import ManualClock
from mulberryhub.permits.share import (
    FLEET_SHARE,
    MAX_SHARE,
    SAMPLE_INTERVAL_MS,
    SETTLE_TIME_MS,
    CoordinatorShare,
)


class Fixture:
    def __init__(self, followers, routers):
        self.clock = ManualClock()
        self.followers = followers
        self.routers = routers
        self.share = CoordinatorShare(
            lambda: self.followers, lambda: self.routers, self.clock
        )

    def run(self, duration):
        for _ in range(duration // SAMPLE_INTERVAL_MS):
            self.clock.advance(SAMPLE_INTERVAL_MS)
            self.share.sample()


def test_share_grows_late_and_falls_with_the_next_sample():
    fixture = Fixture(6, 6)
    assert fixture.share.current() == 0
    fixture.run(SETTLE_TIME_MS - SAMPLE_INTERVAL_MS)
    assert fixture.share.current() == 0
    fixture.run(2 * SAMPLE_INTERVAL_MS)
    assert fixture.share.current() == MAX_SHARE
    fixture.followers = 2
    fixture.clock.advance(SAMPLE_INTERVAL_MS)
    assert fixture.share.current() == FLEET_SHARE * 2 / 6
    fixture.followers = 6
    fixture.run(SETTLE_TIME_MS - SAMPLE_INTERVAL_MS)
    assert fixture.share.current() == FLEET_SHARE * 2 / 6


def test_pause_of_the_process_starts_anew():
    fixture = Fixture(6, 6)
    fixture.run(2 * SETTLE_TIME_MS)
    fixture.clock.advance(SETTLE_TIME_MS + 1)
    assert fixture.share.current() == 0


def test_unknown_fleet_has_no_share():
    fixture = Fixture(1, 0)
    fixture.run(2 * SETTLE_TIME_MS)
    assert fixture.share.current() == 0
