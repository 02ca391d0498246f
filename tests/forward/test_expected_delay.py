from mulberryhub.forward.expected_delay import ExpectedDelay
from tests.forward.fakes import make_service, make_upstream


def test_adjustments_apply_in_order():
    """A delay that skips an adjustment sends requests to upstreams that are slower."""

    def halve(upstream, service, delay):
        return delay / 2

    def add_wait(upstream, service, delay):
        return delay + 10

    delay = ExpectedDelay(lambda id: 40, (halve, add_wait))

    assert delay.of(make_upstream("u0", 1), make_service()) == 30
