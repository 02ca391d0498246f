"""Decides which router decides: when it takes the lease, and when it lets go of it."""

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.releases import needs_release
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.store import era_of

RENEWAL_INTERVAL_MS = 500
SILENCE_MS = 1_000  # of the decider, after which others try to take the lease
DELAY_PER_RANK_MS = 500
MAX_RANK = 6
DELAY_PER_LATE_RANK_MS = 50  # spreads the routers whose predecessors are all gone
# For which a router without contact to others leaves the decision to those that have
# outcomes.
CONTACT_WAIT_MS = 4_000

log = module_logger(__name__)


class ReleaseTakeover:
    """Holds `lease` for the router `name` while orders are pending.

    Routers rank themselves, so that they try one after another. `is_connected()`
    returns whether this router hears others, or has none.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_lease",
        "_is_connected",
        "_clock",
        "_pending_since",
        "_isolated_since",
        "_renewed_at",
    )

    def __init__(self, name, fleet_state, lease, is_connected, clock):
        self._name = name
        self._fleet_state = fleet_state
        self._lease = lease
        self._is_connected = is_connected
        self._clock = clock
        self._pending_since = None
        self._isolated_since = None
        self._renewed_at = None

    def hold_lease(self, orders):
        """Take or renew the lease if it is this router's turn; return if it is held.

        No call is made to the store without `orders`, the pending ones.
        """
        if not orders:
            self._pending_since = None
            return False
        now = self._clock.now()
        if self._pending_since is None:
            self._pending_since = now
        if self._waits_for_contact(now):
            return False
        if not self._lease.is_held and not self._may_take(orders, now):
            return False
        if self._renewed_at is None or now - self._renewed_at >= RENEWAL_INTERVAL_MS:
            self._renewed_at = now
            self._lease.renew_or_acquire()
        return self._lease.is_held

    def _waits_for_contact(self, now):
        """Return whether this router hears no other, but may soon."""
        if self._is_connected():
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = now
        return now - self._isolated_since < CONTACT_WAIT_MS

    def _may_take(self, orders, now):
        """Return whether the decider, if any, has been silent for long enough."""
        since = self._pending_since
        releases = self._fleet_state.releases
        for order in orders:
            known = releases.known(order.service)
            if known is not None and known.state.is_running:
                self._lease.note_record(known.state.fence)
                since = max(since, known.received_at + SILENCE_MS)
        return now - since >= self._rank_delay()

    def _rank_delay(self):
        """Return the ms to wait before taking the lease, by this router's rank."""
        if self._lease.is_last_holder:
            return 0
        names = self._fleet_state.members_by_name
        ranked = sorted(
            names, key=lambda name: rendezvous_score(b"releases", name.encode())
        )
        rank = ranked.index(self._name) if self._name in names else len(ranked)
        late_rank = max(0, rank - MAX_RANK)
        return (
            min(rank, MAX_RANK) * DELAY_PER_RANK_MS + late_rank * DELAY_PER_LATE_RANK_MS
        )


def pending_orders(fleet_state):
    """Return the orders for which there is something to decide or to write.

    Orders for services that the configuration does not have are not.
    """
    orders = fleet_state.releases.orders_by_service
    if not orders or fleet_state.configuration is None:
        return []
    services = _service_names(fleet_state)
    era = store_era(fleet_state)
    return [
        order
        for order in orders.values()
        if order.service in services
        and _is_pending(order, fleet_state.releases.state(order.service), era)
    ]


def unknown_orders(fleet_state):
    """Return the orders for services that the configuration does not have."""
    orders = fleet_state.releases.orders_by_service
    if not orders or fleet_state.configuration is None:
        return []
    services = _service_names(fleet_state)
    return [
        order
        for order in orders.values()
        if order.service not in services and not order.is_withdrawn
    ]


def _service_names(fleet_state):
    return {service.name for service in fleet_state.configuration.services}


def store_era(fleet_state):
    """Return the era of the store, as far as it is known, -1 if it is not."""
    return era_of(fleet_state.position_by_topic[Topic.OPERATOR])


def _is_pending(order, state, era):
    if state is None:
        return not order.is_withdrawn
    if state.is_running or state.written_era < era:
        return True
    return not order.is_withdrawn and needs_release(order, state)
