import pytest
from prometheus_client import generate_latest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.usage import UsageTable
from mulberryhub.forward.routes import ConfigurationView
from mulberryhub.node.locality import build_locality
from mulberryhub.node.metrics import PrometheusCounters
from mulberryhub.node.settings import RouterSettings
from tests.forward.fakes import (
    make_call,
    make_configuration,
    make_route,
    make_service,
    make_upstream,
)

SETTINGS = RouterSettings("r", "a", "h:1", "h:2", "h:3", "h:4", link_mbps=100)
UPSTREAMS = [
    make_upstream("u0", 1),
    make_upstream("u1", 2, data_centre="b"),
    *(make_upstream(f"lost{number}", number) for number in range(3, 9)),
]
HOME_IDS = [upstream.id for upstream in UPSTREAMS if upstream.data_centre == "a"]


class Fixture:
    def __init__(self, store_data_centre):
        self.clock = ManualClock(now=10_000)
        self.counters = PrometheusCounters()
        self.usage_table = UsageTable(Usage, "a", 8_000, self.clock)
        store = make_service(cache_address="s", cache_data_centre=store_data_centre)
        view = ConfigurationView(make_configuration(services=[store]))
        self.parts = build_locality(
            SETTINGS, lambda: view, self.usage_table, self.clock, self.counters
        )

    def region(self, delays, unreachable_ids=()):
        return self.parts.locality.region(
            make_call(),
            make_route(),
            make_service(),
            UPSTREAMS,
            lambda upstream: delays[upstream.id],
            lambda upstream: upstream.id not in unreachable_ids,
            is_first=True,
        )


@pytest.mark.parametrize(("store_data_centre", "cost"), [("a", 3.48), ("b", 36)])
def test_transfer_cost_is_fixed_without_a_store_at_home(store_data_centre, cost):
    """Guards against other placement where the configuration does not call for it."""
    fixture = Fixture(store_data_centre)
    transfer_cost = fixture.parts.transfer_cost(make_call(), UPSTREAMS[1])
    assert transfer_cost == pytest.approx(cost, abs=0.1)
    region = fixture.region(dict.fromkeys([*HOME_IDS, "u1"], 0))
    assert (region is None) == (store_data_centre == "b")


def test_upstreams_that_cannot_be_reached_do_not_count():
    """Guards against an idle upstream at home that gets nothing beside lost ones."""
    fixture = Fixture("a")
    delays = dict.fromkeys([upstream.id for upstream in UPSTREAMS], 10_000)
    lost_ids = delays.keys() - {"u0", "u1"}
    for _ in range(8):
        fixture.usage_table.record_remote("b", Usage(routers=1), {})
        assert fixture.region({**delays, "u0": 0, "u1": 0}, lost_ids).is_home
        fixture.clock.advance(300)
    assert fixture.region(delays, {"u0", *lost_ids}) is None


def test_share_is_shown_by_service_and_data_centre():
    """Guards against traffic between data centres that operators cannot see."""
    fixture = Fixture("a")
    for is_heard in (True, False):
        for _ in range(8):
            if is_heard:
                fixture.usage_table.record_remote("b", Usage(routers=1), {})
            fixture.region(dict.fromkeys(HOME_IDS, 900) | {"u1": 0})
            fixture.clock.advance(300)
        text = generate_latest(fixture.counters.registry).decode()
        gauge = 'mulberryhub_remote_share{topic="llm/b"}'
        assert f"{gauge} {1.0 if is_heard else 0.0}" in text
