"""Builds the parts that keep requests in their data centre, for the root."""

from mulberryhub.forward.locality import Locality
from mulberryhub.forward.round_trips import RoundTrips
from mulberryhub.forward.transfer_cost import (
    fixed_transfer_cost,
    measured_transfer_cost,
)


class LocalityParts:
    """The Locality and RoundTrips of a router, and the `transfer_cost` it uses."""

    __slots__ = ("locality", "round_trips", "transfer_cost")

    def __init__(self, locality, round_trips, transfer_cost):
        self.locality = locality
        self.round_trips = round_trips
        self.transfer_cost = transfer_cost


def build_locality(settings, find_view, usage_table, clock, counters):
    """Return the LocalityParts; `find_view()` returns the ConfigurationView or None.

    Transfers have their fixed cost where the router's data centre has no KV cache
    store.
    """
    data_centre = settings.data_centre
    round_trips = RoundTrips()
    fixed = fixed_transfer_cost(data_centre)
    measured = measured_transfer_cost(data_centre, settings.link_mbps, round_trips.of)

    def has_store():
        view = find_view()
        return view is not None and view.has_cache_service(data_centre)

    def transfer_cost(call, upstream):
        if upstream.data_centre == data_centre:
            return 0
        return (measured if has_store() else fixed)(call, upstream)

    locality = Locality(
        data_centre,
        has_store,
        usage_table.heard_data_centres,
        measured,
        clock,
        counters,
    )
    add_share_gauge(counters, locality)
    return LocalityParts(locality, round_trips, transfer_cost)


def add_share_gauge(counters, locality):
    """Add a gauge of the shares, with a value from each destination's first use on."""
    add_reader = counters.add_gauge(
        "remote_share", "Share of a service's requests for another data centre", {}
    )

    def add_destination(service_name, data_centre):
        add_reader(
            f"{service_name}/{data_centre}",
            lambda: locality.share(service_name, data_centre),
        )

    locality.on_destination = add_destination
