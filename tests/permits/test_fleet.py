"""Requests to one limited upstream over many routers, cuts, restarts and changes."""

import pytest

from mulberryhub.permits.stock import Flow
from tests.permits.fleet_model import CONTACT_TIME_MS, FleetModel, allowed

DURATION_MS = 24_000
MIN_USE_SHARE = 0.8


@pytest.mark.parametrize("routers", [1, 6, 60, 200])
@pytest.mark.parametrize("rate", [0.25, 0.5, 1.4, 12, 100])
def test_limited_upstream_gets_its_rate_and_not_more(monkeypatch, routers, rate):
    fleet = FleetModel(monkeypatch, routers, rate)
    fleet.load(DURATION_MS, max(40, 3 * rate))
    fleet.run(DURATION_MS)
    assert fleet.largest_window() <= allowed(rate)
    assert len(fleet.arrivals) >= int(MIN_USE_SHARE * rate * DURATION_MS / 1_000)


@pytest.mark.parametrize("routers", [1, 6, 60])
def test_demand_below_the_rate_is_not_refused(monkeypatch, routers):
    fleet = FleetModel(monkeypatch, routers, 20)
    fleet.load(DURATION_MS, 12)
    fleet.run(DURATION_MS)
    assert sum(fleet.refused_count_by_flow.values()) <= 0.005 * len(fleet.arrivals)


def test_very_high_rate_refuses_nothing_in_a_burst(monkeypatch):
    fleet = FleetModel(monkeypatch, 6, 1e9)
    fleet.load(50, 10_000)
    fleet.run(1_000)
    assert len(fleet.arrivals) == 500


@pytest.mark.parametrize("routers", [2, 6, 60, 200])
@pytest.mark.parametrize("rate", [0.5, 2, 12, 100])
@pytest.mark.parametrize("cut_number", [0, 1])
def test_router_cut_off_from_the_others_keeps_all_within_the_rate(
    monkeypatch, routers, rate, cut_number
):
    fleet = FleetModel(monkeypatch, routers, rate)
    fleet.load(DURATION_MS, max(60, 4 * rate))
    fleet.load(DURATION_MS, max(20, rate), routers=[fleet.routers[cut_number]])
    for is_cut in (True, False, True, False):
        fleet.run(DURATION_MS / 4)
        fleet.routers[cut_number].set_cut(is_cut)
    assert fleet.largest_window() <= allowed(rate)


def test_rate_is_used_again_after_the_coordinator_is_gone(monkeypatch):
    fleet = FleetModel(monkeypatch, 6, 8)
    fleet.load(DURATION_MS, 60, routers=fleet.routers[1:])
    fleet.run(4_000)
    fleet.routers[0].set_cut(True)
    fleet.run(5_000)
    since = fleet.time.clock.now()
    fleet.run(10_000)
    assert fleet.largest_window() <= allowed(8)
    assert len(fleet.arrivals_since(since)) >= MIN_USE_SHARE * 8 * 10


@pytest.mark.parametrize("rate", [0.5, 8, 100])
def test_coordinator_that_restarts_grants_no_second_burst(monkeypatch, rate):
    fleet = FleetModel(monkeypatch, 6, rate)
    fleet.load(DURATION_MS, max(60, 4 * rate))
    for _ in range(8):
        fleet.run(DURATION_MS / 8)
        fleet.routers[0].start()
    assert fleet.largest_window() <= allowed(rate)


@pytest.mark.parametrize("routers", [6, 60])
def test_rate_that_falls_each_second_is_kept(monkeypatch, routers):
    fleet = FleetModel(monkeypatch, routers, 64)
    fleet.load(DURATION_MS, 200)
    for _ in range(6):
        fleet.run(1_000)
        fleet.change_rate(fleet.rate / 2)
    changed_at = fleet.time.clock.now()
    fleet.run(8_000)
    assert fleet.largest_window(changed_at) <= allowed(fleet.rate)


def test_workspaces_share_by_weight_and_not_by_demand(monkeypatch):
    fleet = FleetModel(monkeypatch, 6, 10)
    flood, quiet = Flow("0/flood"), Flow("0/quiet")
    urgent, later = Flow("0/urgent", 2), Flow("1/later", 1)
    fleet.load(DURATION_MS, 400, flood)
    for flow in (quiet, urgent, later):
        fleet.load(DURATION_MS, 30, flow)
    fleet.run(DURATION_MS)
    counts = dict.fromkeys((flood.key, quiet.key, urgent.key, later.key), 0)
    for arrival in fleet.arrivals:
        counts[arrival.flow.key] += 1
    share = len(fleet.arrivals) / 5  # of a weight of 1
    assert counts[urgent.key] >= 0.7 * 2 * share
    assert min(counts[quiet.key], counts[later.key]) >= 0.7 * share
    assert counts[flood.key] <= 1.5 * share


def test_all_routers_get_part_of_a_small_rate(monkeypatch):
    fleet = FleetModel(monkeypatch, 6, 6)
    fleet.load(DURATION_MS, 60)
    fleet.run(DURATION_MS)
    assert {arrival.router for arrival in fleet.arrivals} == set(range(6))


def test_requests_to_the_coordinator_are_bounded(monkeypatch):
    fleet = FleetModel(monkeypatch, 200, 0.5)
    fleet.load(10_000, 2_000)
    fleet.run(10_000)
    assert fleet.asks <= 10 * 250


def test_first_grant_comes_at_once(monkeypatch):
    fleet = FleetModel(monkeypatch, 6, 0.5)
    fleet.load(1_000, 20)
    fleet.run(1_000)
    assert fleet.arrivals
    assert fleet.time.clock.now() >= CONTACT_TIME_MS
