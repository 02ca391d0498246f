"""The orders and states of releases that a router knows, and what follows from them."""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.release_records import ReleaseStatus
from mulberryhub.fleet.store import era_of

# A router without newer state of a running release sends nothing to the target.
MAX_STATE_AGE_MS = 1_500

log = module_logger(__name__)


class KnownState:
    """A ReleaseState and the ms at which it was received."""

    __slots__ = ("state", "received_at")

    def __init__(self, state, received_at):
        self.state = state
        self.received_at = received_at

    def order_age(self, now):
        """Return the ms since the order at `now` (ms)."""
        return self.state.age + now - self.received_at


class VersionRule:
    """Which software versions of a service requests may go to.

    `share` is the fraction of the requests that goes to `target`; all others go to
    other versions, except for the `excluded` ones. Those of the
    target go to `upstreams` of its upstreams, which `turn` selects. With `is_lenient`,
    requests go to the target where no other version is ready. `target` is None if no
    release is running.
    """

    __slots__ = ("target", "share", "excluded", "upstreams", "turn", "is_lenient")

    def __init__(self, target, share, excluded, upstreams=0, turn=0, is_lenient=False):
        self.target = target
        self.share = share
        self.excluded = excluded
        self.upstreams = upstreams
        self.turn = turn
        self.is_lenient = is_lenient


class Releases:
    """The newest order and state of each service that has one.

    `orders_by_service` has the ReleaseOrders, also withdrawn ones.
    """

    __slots__ = (
        "orders_by_service",
        "_seen_at_by_service",
        "_known_by_service",
        "_clock",
    )

    def __init__(self, clock):
        self.orders_by_service = {}
        self._seen_at_by_service = {}
        self._known_by_service = {}
        self._clock = clock

    def apply_order(self, order):
        """Apply an order if it is newer; return whether it is.

        The same record in a later era of the store is no new order.
        """
        known = self.orders_by_service.get(order.service)
        if known is not None:
            if order.offset <= known.offset:
                return False
            if order.is_same(known):
                # Only a listing of this era can show that the order was withdrawn.
                self.orders_by_service[order.service] = order
                return False
        self.orders_by_service[order.service] = order
        self._seen_at_by_service[order.service] = self._clock.now()
        log.info(
            "release order withdrawn" if order.is_withdrawn else "release ordered",
            service=order.service,
            target=order.target,
            duration_ms=order.duration,
            offset=order.offset,
        )
        return True

    def missing_orders(self, listed_services, end):
        """Return the orders that a complete listing up to `end` does not have.

        Those of an earlier era may have been lost with the newest records of the store,
        and so were not withdrawn.
        """
        return [
            order
            for order in self.orders_by_service.values()
            if order.service not in listed_services
            and not order.is_withdrawn
            and order.offset < end
            and era_of(order.offset) == era_of(end)
        ]

    def apply_state(self, state):
        """Apply a state if it is newer; return whether it is."""
        known = self.state(state.service)
        if known is not None and state.order <= known.order:
            return False
        if known is None or _is_step(known, state):
            log.info(
                "release state known",
                service=state.service,
                target=state.target,
                state=state.state,
                share=state.share,
                reason=state.reason,
                fence=state.fence,
                revision=state.revision,
            )
        self._known_by_service[state.service] = KnownState(state, self._clock.now())
        return True

    def known(self, service):
        """Return the KnownState of a service, or None."""
        return self._known_by_service.get(service)

    def state(self, service):
        """Return the newest ReleaseState of a service, or None."""
        known = self._known_by_service.get(service)
        return None if known is None else known.state

    def order_age(self, service):
        """Return the ms for which this router has known the order of a service."""
        return self._clock.now() - self._seen_at_by_service[service]

    def state_age(self, service):
        """Return the ms since the newest state was received, or None without one."""
        known = self._known_by_service.get(service)
        return None if known is None else self._clock.now() - known.received_at

    def states(self):
        """Return the newest ReleaseStates of all services."""
        return [known.state for known in self._known_by_service.values()]

    def running_states(self):
        """Return the ReleaseStates of all releases that are running."""
        return [state for state in self.states() if state.is_running]

    def version_rule(self, service):
        """Return the VersionRule of a service, or None if it never had an order."""
        order = self.orders_by_service.get(service)
        known = self._known_by_service.get(service)
        if order is None and known is None:
            return None
        state = None if known is None else known.state
        if order is None or order.is_withdrawn:
            return None if state is None else _ended_rule(state)
        if state is None:
            return VersionRule(order.target, 0, frozenset(), is_lenient=True)
        if not needs_release(order, state):
            return VersionRule(None, 0, frozenset(state.excluded_versions))
        return self._running_rule(order, known)

    def _running_rule(self, order, known):
        state = known.state
        share = 0
        is_fresh = self._clock.now() - known.received_at <= MAX_STATE_AGE_MS
        if is_fresh and state.is_running and state.target == order.target:
            share = state.share
        excluded = frozenset(state.excluded_versions) - {order.target}
        if state.is_running and state.target != order.target:
            excluded |= {state.target}
        return VersionRule(order.target, share, excluded, state.upstreams, state.turn)


def needs_release(order, state):
    """Return whether the release that `order` asks for has not ended with `state`.

    A repeated order asks for a new release, unless its target is in service.
    """
    if state.target != order.target or state.is_running:
        return True
    if state.state is ReleaseStatus.COMPLETED:
        return False
    return not state.belongs_to(order)


def _ended_rule(state):
    """Return the VersionRule after the order of the release `state` was withdrawn."""
    excluded = set(state.excluded_versions)
    if state.is_running:
        excluded.add(state.target)
    return VersionRule(None, 0, frozenset(excluded))


def _is_step(known, state):
    """Return whether a state differs from the one before in more than its age."""
    return (known.target, known.order_offset, known.state, known.share) != (
        state.target,
        state.order_offset,
        state.state,
        state.share,
    )
