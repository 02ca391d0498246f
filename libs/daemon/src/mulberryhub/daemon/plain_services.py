"""Wires the routes of plain services."""

from mulberryhub.base.green import spawn_n
from mulberryhub.gateway.services import Services
from mulberryhub.orders.marks import keep_marked
from mulberryhub.orders.once import OnceCaller
from mulberryhub.upstream.service import ServiceClient


class PlainServices:
    """The handler of service routes, with its start and stop."""

    __slots__ = ("handle", "_once", "_clock", "_counters", "_stop_timeout")

    def __init__(self, log, replica, health, budget, clock, counters, settings):
        self._once = OnceCaller(log, clock, counters)
        self._clock = clock
        self._counters = counters
        self._stop_timeout = settings.stop_timeout
        services = Services(
            replica, ServiceClient(), self._once, health, budget, counters
        )
        self.handle = services.handle

    def start(self):
        """Start to mark quiet claim streams."""
        spawn_n(keep_marked, self._once, self._clock, self._counters)

    def stop(self):
        """Wait until calls that run have ended and their results are kept."""
        self._once.stop(self._stop_timeout)
