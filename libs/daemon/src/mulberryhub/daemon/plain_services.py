"""Wires the routes of plain services."""

from mulberryhub.base.green import spawn_n
from mulberryhub.gateway.service_routes import ServiceRoutes
from mulberryhub.orders.at_most_once import AtMostOnceCaller
from mulberryhub.orders.heartbeats import run_heartbeat_loop
from mulberryhub.upstream.service import ServiceClient


class PlainServices:
    """The handler of service routes, with its start and stop."""

    __slots__ = (
        "handle",
        "_at_most_once_caller",
        "_clock",
        "_counters",
        "_stop_timeout",
    )

    def __init__(self, log, replica, health, budget, clock, counters, settings):
        self._at_most_once_caller = AtMostOnceCaller(log, clock, counters)
        self._clock = clock
        self._counters = counters
        self._stop_timeout = settings.stop_timeout
        service_routes = ServiceRoutes(
            replica,
            ServiceClient(),
            self._at_most_once_caller,
            health,
            budget,
            counters,
        )
        self.handle = service_routes.handle

    def start(self):
        """Start to append heartbeats to idle claim streams."""
        spawn_n(
            run_heartbeat_loop, self._at_most_once_caller, self._clock, self._counters
        )

    def stop(self):
        """Wait until calls that run have ended and their results are kept."""
        self._at_most_once_caller.stop(self._stop_timeout)
