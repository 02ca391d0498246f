"""Tells since when a router has known all upstreams without a gap."""

from mulberryhub.fleet.sources import MAX_CURRENT_AGE_MS
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic
from mulberryhub.fleet.store import era_of


class ViewCoverage:
    """Detects gaps: stale data, a frozen process, a store from an older copy.

    `gap_count` counts them, `era` is that of the store, and `as_of` the ms as of which
    the upstreams are known.
    """

    __slots__ = ("gap_count", "era", "as_of", "_fleet_state", "_clock")

    def __init__(self, fleet_state, clock):
        self.gap_count = 0
        self.era = -1
        self.as_of = UNKNOWN_POSITION
        self._fleet_state = fleet_state
        self._clock = clock

    def is_known(self):
        """Return whether any upstreams were ever told."""
        return self._fleet_state.as_of_by_topic[Topic.UPSTREAMS] != UNKNOWN_POSITION

    def is_current(self):
        """Return whether the upstreams are known as of a moment ago.

        What happened in a gap that ended since the last call is counted as well.
        """
        as_of = self._fleet_state.as_of_by_topic[Topic.UPSTREAMS]
        era = era_of(self._fleet_state.position_by_topic[Topic.UPSTREAMS])
        is_stale = (
            as_of == UNKNOWN_POSITION or self._clock.now() - as_of > MAX_CURRENT_AGE_MS
        )
        has_jumped = as_of - self.as_of > MAX_CURRENT_AGE_MS
        if is_stale or has_jumped or era != self.era:
            self.gap_count += 1
        self.as_of, self.era = as_of, era
        return not is_stale
