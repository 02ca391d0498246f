"""Tells since when a router has known all upstreams without a gap."""

from mulberryhub.fleet.sources import MAX_CURRENT_AGE_MS
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic
from mulberryhub.fleet.store import era_of


class ViewCoverage:
    """Detects gaps: stale data, a frozen process, a store from an older copy.

    `gap_count` counts them, `era` is that of the store, and `as_of` the ms as of which
    the upstreams are known. Once a router has learned what it missed in gaps, its view
    is covered until the next one.
    """

    __slots__ = (
        "gap_count",
        "era",
        "as_of",
        "_covered_gap_count",
        "_covered_era",
        "_covered_skip_count",
        "_fleet_state",
        "_clock",
    )

    def __init__(self, fleet_state, clock):
        self.gap_count = 0
        self.era = -1
        self.as_of = UNKNOWN_POSITION
        self._covered_gap_count = None
        self._covered_era = None
        self._covered_skip_count = None
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

    def cover(self, gap_count):
        """Record that what was missed in the first `gap_count` gaps is known."""
        self._covered_gap_count = gap_count
        self._covered_era = self.era
        self._covered_skip_count = self._fleet_state.seen_software.skip_count

    def was_covered(self):
        """Return whether the view was covered at any time."""
        return self._covered_gap_count is not None

    def is_covered(self):
        """Return whether the view is current and nothing was missed."""
        if not self.is_current() or self.gap_count != self._covered_gap_count:
            return False
        self._covered_skip_count = self._fleet_state.seen_software.skip_count
        return True

    def is_complete(self):
        """Return whether each record since the view was last covered was read.

        Then no version was in service unseen, though it was seen late.
        """
        skip_count = self._fleet_state.seen_software.skip_count
        return self._covered_skip_count == skip_count and self._covered_era == self.era
