"""Builds the handler for requests to services other than engines."""

from mulberryhub.base.green import spawn_n
from mulberryhub.gateway.service_routes import ServiceRoutes
from mulberryhub.orders.at_most_once import AtMostOnceCaller
from mulberryhub.orders.heartbeats import run_heartbeat_loop
from mulberryhub.upstream.service import ServiceClient


class ServiceForwarder:
    """Forwards requests on service routes; `handle` is the request handler."""

    __slots__ = (
        "handle",
        "_at_most_once_caller",
        "_clock",
        "_counters",
        "_stop_timeout",
    )

    def __init__(
        self, log_client, replica, health, retry_budget, clock, counters, settings
    ):
        self._at_most_once_caller = AtMostOnceCaller(log_client, clock, counters)
        self._clock = clock
        self._counters = counters
        self._stop_timeout = settings.stop_timeout
        service_routes = ServiceRoutes(
            replica,
            ServiceClient(),
            self._at_most_once_caller,
            health,
            retry_budget,
            counters,
        )
        self.handle = service_routes.handle

    def start(self):
        """Start the loop that appends heartbeats to idle claim streams."""
        spawn_n(
            run_heartbeat_loop, self._at_most_once_caller, self._clock, self._counters
        )

    def stop(self):
        """Wait up to `stop_timeout` for running calls and the writes of results."""
        self._at_most_once_caller.stop(self._stop_timeout)
