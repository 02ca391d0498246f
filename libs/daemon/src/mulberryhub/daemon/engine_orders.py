"""Builds the engine reconciler and its dependencies."""

from mulberryhub.orders.engine_reconciler import LEASE_NAME, EngineReconciler
from mulberryhub.orders.lease import Lease
from mulberryhub.upstream.order_client import OrderClient


def build_engine_reconciler(settings, log_client, replica, clock, counters):
    """Return the engine reconciler, which acts while this router holds the lease."""
    lease = Lease(log_client, clock, counters, LEASE_NAME, settings.vm)
    order_client = OrderClient()
    return EngineReconciler(
        lease,
        replica.current,
        order_client.read_versions,
        order_client.send,
        clock,
        counters,
    )
