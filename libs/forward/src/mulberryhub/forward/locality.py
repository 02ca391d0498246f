"""Decides in which data centre requests are placed, in the router's own one first.

This applies where the configuration has a KV cache store in the router's data centre,
its home. What decides is the work in flight at the upstreams; see
docs/design/locality.md.
"""

from random import random

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.outbound_shares import OutboundShares

MAX_DATA_AGE_MS = 2_000  # of the work in flight elsewhere; if older, requests stay
BEST_DIVISOR = 4
LOGGED_STEP = 0.1  # by which a share changes before it is logged again

log = module_logger(__name__)


class Region:
    """The data centre in which a request is placed.

    `is_home` is set if it is the router's own. An upstream in one of
    `holder_data_centres` may be used instead if it most likely caches shared parts of
    the prompt.
    """

    __slots__ = ("data_centre", "is_home", "holder_data_centres")

    def __init__(self, data_centre, is_home, holder_data_centres=frozenset()):
        self.data_centre = data_centre
        self.is_home = is_home
        self.holder_data_centres = holder_data_centres


class Locality:
    """Chooses the Region of each request, by shares of each service's requests.

    `has_store()` returns whether `data_centre` has a KV cache store.
    `heard_data_centres(max_age)` returns the other data centres of which the work in
    flight is known. `transfer_cost(call, upstream)` is in ms. `draw()` returns a random
    number from 0 to 1.
    """

    __slots__ = (
        "_data_centre",
        "_has_store",
        "_heard_data_centres",
        "_transfer_cost",
        "_clock",
        "_counters",
        "_draw",
        "_shares_by_service",
        "_logged_by_key",
        "_heard",
        "on_destination",
    )

    def __init__(
        self,
        data_centre,
        has_store,
        heard_data_centres,
        transfer_cost,
        clock,
        counters,
        draw=random,
    ):
        self._data_centre = data_centre
        self._has_store = has_store
        self._heard_data_centres = heard_data_centres
        self._transfer_cost = transfer_cost
        self._clock = clock
        self._counters = counters
        self._draw = draw
        self._shares_by_service = {}
        self._logged_by_key = {}
        self._heard = frozenset()
        self.on_destination = None  # is called with each new service and data centre

    def region(self, call, route, service, upstreams, delay, is_reachable, is_first):
        """Return the Region of `call`, None if the data centre does not matter.

        `upstreams` are those that may serve it; `delay(upstream)` returns the delay
        in ms that is expected there, and `is_reachable(upstream)` whether it could be
        reached recently. `is_first` is set unless upstreams were tried before: only
        then are shares updated, by the upstreams that this request may use.
        """
        if not self._has_store():
            return None
        reachable = [upstream for upstream in upstreams if is_reachable(upstream)]
        home, elsewhere = self._split(reachable)
        if not home:
            if elsewhere:
                self._counters.add("locality.no_home_upstream")
            return None
        shares = self._shares_by_service.setdefault(service.name, OutboundShares())
        if is_first and shares.is_due(self._clock.now()):
            self._update(shares, call, route, service, home, elsewhere, delay)
        destination = shares.draw(self._draw())
        if any(upstream.data_centre == destination for upstream in elsewhere):
            self._counters.add(f"locality.delay.{destination}")
            return Region(destination, False)
        return Region(self._data_centre, True, self._heard)

    def record_choice(self, region, upstream):
        """Record that `upstream` was chosen for a request of `region`."""
        if region is not None and upstream.data_centre != region.data_centre:
            self._counters.add(f"locality.cached.{upstream.data_centre}")

    def share(self, service_name, data_centre):
        """Return the share of a service's requests that goes to `data_centre`."""
        shares = self._shares_by_service.get(service_name)
        return 0 if shares is None else shares.by_destination().get(data_centre, 0)

    def _split(self, upstreams):
        home, elsewhere = [], []
        for upstream in upstreams:
            is_home = upstream.data_centre == self._data_centre
            (home if is_home else elsewhere).append(upstream)
        return home, elsewhere

    def _update(self, shares, call, route, service, home, elsewhere, delay):
        self._heard = self._heard_data_centres(MAX_DATA_AGE_MS)
        costs_by_name = {}
        for upstream in elsewhere:
            if upstream.data_centre in self._heard:
                cost = delay(upstream) + self._transfer_cost(call, upstream)
                costs_by_name.setdefault(upstream.data_centre, []).append(cost)
        costs = {name: _best(values) for name, values in costs_by_name.items()}
        home_delay = _best([delay(upstream) for upstream in home])
        shares.update(self._clock.now(), home_delay, costs, route.target_latency)
        names = {upstream.data_centre for upstream in elsewhere}
        names.update(name for key, name in self._logged_by_key if key == service.name)
        self._log_shares(service.name, shares, names, home_delay, costs)

    def _log_shares(self, service_name, shares, names, home_delay, costs):
        share_by_destination = shares.by_destination()
        for name in names:
            key = (service_name, name)
            if key not in self._logged_by_key and self.on_destination is not None:
                self.on_destination(service_name, name)
            share = share_by_destination.get(name, 0)
            logged = self._logged_by_key.setdefault(key, 0)
            if abs(share - logged) < LOGGED_STEP and (share or not logged):
                continue
            self._logged_by_key[key] = share
            log.info(
                "share of requests for another data centre",
                service=service_name,
                data_centre=name,
                share=round(share, 3),
                reason="delay" if name in costs else "no_recent_data",
                home_delay_ms=round(home_delay),
                delay_ms=round(costs[name]) if name in costs else None,
            )


def _best(delays):
    """Return the delay that the best choice of a request has, in ms.

    A request has a choice of few upstreams by the rank of its shared parts, so its best
    one is not the best of all. The least of three is at the lower quartile on average.
    """
    return sorted(delays)[(len(delays) - 1) // BEST_DIVISOR]
