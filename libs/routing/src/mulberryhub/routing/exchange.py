"""Exchanges routing updates with a bounded number of peer routers.

Each call carries an update in both directions. In a small fleet every pair of routers
exchanges updates; in a large one, each router exchanges with its neighbours on a ring
that is ordered by the hash of router names.
"""

import msgspec

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.routing.update import RoutingUpdate

UPDATE_METHOD = "routing.news"
EXCHANGE_PERIOD_MS = 500
CALLED_PEER_COUNT = 4


class UpdateMessage(msgspec.Struct):
    """A routing update and the name of the router that sends it."""

    router: str
    update: RoutingUpdate = msgspec.field(name="news")


class UpdateExchange:
    """Exchanges updates between the policy of the router `name` and its peers.

    `addresses_by_name()` returns the addresses of the other routers by name.
    `call(address, message)` sends an UpdateMessage and returns the reply, or None if
    none arrives in time.
    """

    __slots__ = ("_name", "_policy", "_addresses_by_name", "_call")

    def __init__(self, name, policy, addresses_by_name, call):
        self._name = name
        self._policy = policy
        self._addresses_by_name = addresses_by_name
        self._call = call

    def run(self):
        """Exchange updates every EXCHANGE_PERIOD_MS, without end."""
        while True:
            sleep(EXCHANGE_PERIOD_MS / 1000)
            self.exchange()

    def exchange(self):
        """Start one call to each peer that this router has to call."""
        addresses_by_name = self._addresses_by_name()
        for peer in peers_to_call(self._name, addresses_by_name):
            spawn_n(self._exchange_with, peer, addresses_by_name[peer])

    def handle_message(self, message):
        """Apply the UpdateMessage of a peer and return the one to reply with."""
        self._policy.apply_update(message.router, message.update)
        return UpdateMessage(self._name, self._policy.update_for(message.router))

    def _exchange_with(self, peer, address):
        message = UpdateMessage(self._name, self._policy.update_for(peer))
        reply = self._call(address, message)
        if reply is not None:
            self._policy.apply_update(peer, reply.update)


def peers_to_call(name, peers):
    """Return the peers that the router `name` calls, the next ones on the ring.

    At most half of the ring is called, as the other half calls this router.
    """
    ring = sorted({name, *peers}, key=_ring_position)
    start = ring.index(name) + 1
    count = min(CALLED_PEER_COUNT, len(ring) // 2)
    successors = ring[start:] + ring[: start - 1]
    return successors[:count]


def _ring_position(name):
    return rendezvous_score(b"ring", name.encode()), name
