import pytest

from mulberryhub.forward.round_trips import MAX_SAMPLE_MS, RoundTrips
from mulberryhub.forward.transfer_cost import measured_transfer_cost
from tests.forward.fakes import make_call, make_upstream

FAR = make_upstream("far", 1, data_centre="b")
CALL = make_call(body=b"x" * 34 * 1024)  # with 6 KB of answer


@pytest.mark.parametrize(("mbps", "cost"), [(100, 5.3), (5, 67.5), (0, 3278.8)])
def test_transfer_takes_a_round_trip_and_the_time_on_the_link(mbps, cost):
    """Guards against costs that do not fit the link, or a failure without a speed."""
    transfer_cost = measured_transfer_cost("a", mbps, lambda name: 2)
    assert transfer_cost(CALL, FAR) == pytest.approx(cost, abs=0.1)
    assert transfer_cost(CALL, make_upstream("near", 2)) == 0


def test_round_trip_follows_the_mean_of_whole_ms():
    """Guards against single slow connections that make a data centre look far."""
    round_trips = RoundTrips()
    for number in range(200):
        round_trips.record("b", 1 + number % 2)
    assert round_trips.of("b") == pytest.approx(1.5, abs=0.2)
    round_trips.record("b", 4_000)
    assert round_trips.of("b") < 2 + MAX_SAMPLE_MS / 10
