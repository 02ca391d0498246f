"""Wires the engine reconciler."""

from mulberryhub.orders.engine_reconciler import LEASE_NAME, EngineReconciler
from mulberryhub.orders.lease import Lease
from mulberryhub.upstream.order_client import OrderClient


def build_engine_reconciler(settings, log, replica, clock, counters):
    """Return the engine reconciler, active while this router holds the lease."""
    lease = Lease(log, clock, counters, LEASE_NAME, settings.vm)
    client = OrderClient()
    return EngineReconciler(
        lease, replica.current, client.read_versions, client.send, clock, counters
    )
