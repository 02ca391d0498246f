"""Wires the orders to engines."""

from mulberryhub.orders.engine_orders import LEASE_NAME, EngineOrders
from mulberryhub.orders.lease import Lease
from mulberryhub.upstream.order_client import OrderClient


def build_engine_orders(settings, log, replica, clock, counters):
    """Return the orders to engines, given while this router holds their lease."""
    lease = Lease(log, clock, counters, LEASE_NAME, settings.vm)
    client = OrderClient()
    return EngineOrders(
        lease, replica.current, client.read_versions, client.send, clock, counters
    )
