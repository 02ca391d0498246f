"""Exchanges routing news with a bounded number of other routers.

Each call carries news both ways. With few routers every pair exchanges; with many,
each router exchanges with its neighbours on a ring in the order of hashed names.
"""

import msgspec

from mulberryhub.base.digest import placement_score
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.routing.news import RoutingNews

METHOD = "routing.news"
PERIOD = 500  # ms
CALLED_PEERS = 4


class NewsMessage(msgspec.Struct):
    """News of the router `router`."""

    router: str
    news: RoutingNews


class NewsExchange:
    """Keeps the policy of the router `name` and those of its peers informed.

    `addresses_by_name()` returns the other routers, `call(address, message)` sends
    a NewsMessage and returns the answer, or None if there is none in time.
    """

    __slots__ = ("_name", "_policy", "_addresses_by_name", "_call")

    def __init__(self, name, policy, addresses_by_name, call):
        self._name = name
        self._policy = policy
        self._addresses_by_name = addresses_by_name
        self._call = call

    def run(self):
        """Exchange news for ever."""
        while True:
            sleep(PERIOD / 1000)
            self.exchange()

    def exchange(self):
        """Start one call to each peer that this router calls."""
        addresses_by_name = self._addresses_by_name()
        for peer in called_peers(self._name, addresses_by_name):
            spawn_n(self._exchange_with, peer, addresses_by_name[peer])

    def answer(self, message):
        """Take in the news of a peer and return what is new for it."""
        self._policy.heard(message.router, message.news)
        return NewsMessage(self._name, self._policy.news(message.router))

    def _exchange_with(self, peer, address):
        message = NewsMessage(self._name, self._policy.news(peer))
        answer = self._call(address, message)
        if answer is not None:
            self._policy.heard(peer, answer.news)


def called_peers(name, peers):
    """Return the peers that the router `name` calls: the next ones on the ring."""
    ring = sorted({name, *peers}, key=_ring_position)
    start = ring.index(name) + 1
    count = min(CALLED_PEERS, len(ring) // 2)
    following = ring[start:] + ring[: start - 1]
    return following[:count]


def _ring_position(name):
    return placement_score(b"ring", name.encode()), name
