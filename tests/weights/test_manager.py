"""Runs weight managers against in-memory upstreams, with leases in a shared log."""

from mulberryhub.fleet.records import Removal, Weights
from mulberryhub.weights.messages import OrderResult
from tests.forward.fakes import MODEL
from tests.weights.simulated_fleet import HANDOVER_DELAY_MS, SimulatedFleet


def test_all_upstreams_load_the_newest_version():
    fleet = SimulatedFleet()
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 4))
    fleet.run(10_000, manager)
    assert [engine.version for engine in fleet.engines_by_id.values()] == [4, 4, 4]
    assert [len(engine.orders) for engine in fleet.engines_by_id.values()] == [1, 1, 1]
    assert not fleet_state.loading_ids()


def test_no_order_is_sent_without_the_lease():
    fleet = SimulatedFleet()
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 2))
    manager.step()
    assert not any(engine.orders for engine in fleet.engines_by_id.values())


def test_other_router_sends_orders_only_after_the_handover_delay():
    fleet = SimulatedFleet(upstreams=2)
    first, first_fleet_state = fleet.add_manager("n0")
    second, second_fleet_state = fleet.add_manager("n1")
    for fleet_state in (first_fleet_state, second_fleet_state):
        fleet_state.apply(Weights(MODEL, 2))
    fleet.engines_by_id["u0"].results = [OrderResult.BUSY] * 1_000
    fleet.run(6_000, first)
    stopped_at = fleet.clock.now()
    assert len(fleet.engines_by_id["u0"].orders) > 1
    engine = fleet.engines_by_id["u0"]
    order_count = len(engine.orders)
    while len(engine.orders) == order_count:
        fleet.run(50, second)
        assert fleet.clock.now() - stopped_at < 30_000
    assert engine.orders[-1].holder == "n1"
    assert fleet.clock.now() - stopped_at >= HANDOVER_DELAY_MS
    assert engine.orders[-1].fence > engine.orders[order_count - 1].fence


def test_fenced_router_sends_no_more_orders_with_the_same_fence():
    fleet = SimulatedFleet(upstreams=1)
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 2))
    engine = fleet.engines_by_id["u0"]
    engine.results = [OrderResult.FENCED] * 1_000
    fleet.run(8_000, manager)
    fences = [order.fence for order in engine.orders]
    assert len(fences) == len(set(fences))


def test_unanswered_order_is_followed_by_one_that_expects_it():
    fleet = SimulatedFleet(upstreams=1)
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 2))
    engine = fleet.engines_by_id["u0"]
    engine.results = [OrderResult.UNKNOWN]
    fleet.run(8_000, manager)
    assert engine.version == 2
    assert [order.expected_order_count for order in engine.orders] == [0, 1]


def test_unanswered_order_is_repeated_within_the_same_load():
    fleet = SimulatedFleet(upstreams=1)
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 2))
    engine = fleet.engines_by_id["u0"]
    engine.results = [OrderResult.UNKNOWN] * 3
    while not engine.orders:
        fleet.run(50, manager)
    assert engine.version == 2
    assert len(engine.orders) == 4


def test_upstream_whose_address_belongs_to_another_is_removed():
    fleet = SimulatedFleet(upstreams=1)
    manager, fleet_state = fleet.add_manager("n0")
    fleet_state.apply(Weights(MODEL, 2))
    fleet.engines_by_id["u0"].results = [OrderResult.OTHER_UPSTREAM]
    fleet.run(8_000, manager)
    assert not fleet_state.upstreams_by_id
    assert Removal("u0", 1) in fleet_state.changes_since(0)
