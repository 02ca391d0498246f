"""Upstreams whose shutdown was announced in an answer."""

from collections import OrderedDict

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.incarnations import is_later

MAX_DEPARTURE_COUNT = 10_000  # records

log = module_logger(__name__)


class Departures:
    """The last announced departure of each upstream, the oldest first."""

    __slots__ = ("_departures_by_id",)

    def __init__(self):
        self._departures_by_id = OrderedDict()

    def apply(self, departure):
        """Apply a Departure; return whether it is new."""
        known = self._departures_by_id.get(departure.id)
        if known is not None and not is_later(departure, known):
            return False
        self._departures_by_id[departure.id] = departure
        if len(self._departures_by_id) > MAX_DEPARTURE_COUNT:
            self._departures_by_id.popitem(last=False)
        log.info(
            "upstream leaves",
            upstream=departure.id,
            started=departure.started,
            source=departure.source,
        )
        return True

    def has(self, upstream):
        """Return whether this incarnation of an upstream, or a later one, leaves."""
        departure = self._departures_by_id.get(upstream.id)
        return departure is not None and not is_later(upstream, departure)
