import pytest

from mulberryhub.base.green import sleep
from mulberryhub.routing.exchange import (
    CALLED_PEERS,
    NewsExchange,
    NewsMessage,
    called_peers,
)
from mulberryhub.routing.news import RoutingNews, Sighting


class RecordingPolicy:
    def __init__(self, name):
        self.name = name
        self.heard_by_peer = {}

    def news(self, peer):
        return RoutingNews({self.name: 1}, [Sighting(self.name, [peer.encode()])])

    def heard(self, peer, news):
        self.heard_by_peer[peer] = news


def fleet(names, answers=True):
    policies_by_name = {name: RecordingPolicy(name) for name in names}
    exchanges_by_name = {}

    def call(address, message):
        return exchanges_by_name[address].answer(message) if answers else None

    for name, policy in policies_by_name.items():
        peers = {other: other for other in names if other != name}
        exchange = NewsExchange(name, policy, peers.copy, call)
        exchanges_by_name[name] = exchange
    return policies_by_name, exchanges_by_name


@pytest.mark.parametrize("count", [1, 2, 3, 6, 9])
def test_each_router_of_a_small_fleet_hears_all_others(count):
    names = [f"router-{i}" for i in range(count)]
    policies_by_name, exchanges_by_name = fleet(names)
    for exchange in exchanges_by_name.values():
        exchange.exchange()
    sleep(0)
    for name, policy in policies_by_name.items():
        assert sorted(policy.heard_by_peer) == [n for n in names if n != name]
        for peer, news in policy.heard_by_peer.items():
            assert news.outstanding_by_engine == {peer: 1}


def test_calls_of_a_large_fleet_are_bounded_in_both_directions():
    names = [f"router-{i}" for i in range(400)]
    called = [peer for name in names for peer in called_peers(name, names)]
    assert all(len(called_peers(name, names)) == CALLED_PEERS for name in names)
    assert all(called.count(name) == CALLED_PEERS for name in names)


def test_call_without_an_answer_changes_nothing():
    policies_by_name, exchanges_by_name = fleet(["a", "b"], answers=False)
    exchanges_by_name["a"].exchange()
    exchanges_by_name["b"].exchange()
    sleep(0)
    assert policies_by_name["a"].heard_by_peer == {}


def test_answer_carries_the_news_for_the_caller():
    policies_by_name, exchanges_by_name = fleet(["a", "b"])
    answer = exchanges_by_name["b"].answer(NewsMessage("a", RoutingNews({"e": 7})))
    assert answer.news.sightings == [Sighting("b", [b"a"])]
    assert policies_by_name["b"].heard_by_peer["a"].outstanding_by_engine == {"e": 7}
