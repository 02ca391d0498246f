import pytest

from mulberryhub.base.green import sleep
from mulberryhub.routing.exchange import (
    CALLED_PEER_COUNT,
    UpdateExchange,
    UpdateMessage,
    peers_to_call,
)
from mulberryhub.routing.update import PrefixSighting, RoutingUpdate


class RecordingPolicy:
    def __init__(self, name):
        self.name = name
        self.updates_by_peer = {}

    def update_for(self, peer):
        return RoutingUpdate(
            {self.name: 1}, [PrefixSighting(self.name, [peer.encode()])]
        )

    def apply_update(self, peer, update):
        self.updates_by_peer[peer] = update


def make_fleet(names, replies=True):
    policies_by_name = {name: RecordingPolicy(name) for name in names}
    exchanges_by_name = {}

    def call(address, message):
        return exchanges_by_name[address].handle_message(message) if replies else None

    for name, policy in policies_by_name.items():
        peers = {other: other for other in names if other != name}
        exchange = UpdateExchange(name, policy, peers.copy, call)
        exchanges_by_name[name] = exchange
    return policies_by_name, exchanges_by_name


@pytest.mark.parametrize("count", [1, 2, 3, 6, 9])
def test_routers_of_a_small_fleet_get_updates_from_all_others(count):
    names = [f"router-{i}" for i in range(count)]
    policies_by_name, exchanges_by_name = make_fleet(names)
    for exchange in exchanges_by_name.values():
        exchange.exchange()
    sleep(0)
    for name, policy in policies_by_name.items():
        assert sorted(policy.updates_by_peer) == [n for n in names if n != name]
        for peer, update in policy.updates_by_peer.items():
            assert update.outstanding_tokens_by_engine == {peer: 1}


def test_incoming_and_outgoing_calls_of_a_large_fleet_are_bounded():
    names = [f"router-{i}" for i in range(400)]
    called = [peer for name in names for peer in peers_to_call(name, names)]
    assert all(len(peers_to_call(name, names)) == CALLED_PEER_COUNT for name in names)
    assert all(called.count(name) == CALLED_PEER_COUNT for name in names)


def test_call_without_a_reply_changes_nothing():
    policies_by_name, exchanges_by_name = make_fleet(["a", "b"], replies=False)
    exchanges_by_name["a"].exchange()
    exchanges_by_name["b"].exchange()
    sleep(0)
    assert policies_by_name["a"].updates_by_peer == {}


def test_reply_carries_the_update_for_the_caller():
    policies_by_name, exchanges_by_name = make_fleet(["a", "b"])
    reply = exchanges_by_name["b"].handle_message(
        UpdateMessage("a", RoutingUpdate({"e": 7}))
    )
    assert reply.update.sightings == [PrefixSighting("b", [b"a"])]
    assert policies_by_name["b"].updates_by_peer["a"].outstanding_tokens_by_engine == {
        "e": 7
    }
