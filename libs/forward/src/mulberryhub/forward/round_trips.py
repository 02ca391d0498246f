"""Round-trip times to data centres, as measured when connections are opened."""

DEFAULT_ROUND_TRIP_MS = 3  # until a connection was opened
MAX_SAMPLE_MS = 50  # longer ones were lost packets or a busy upstream
SAMPLE_WEIGHT = 0.1


class RoundTrips:
    """The mean round-trip time in ms by data centre, with recent ones counting more.

    The clock counts whole ms. As connections are opened at any time within a ms, the
    mean of many is more exact than one.
    """

    __slots__ = ("_time_by_data_centre",)

    def __init__(self):
        self._time_by_data_centre = {}

    def record(self, data_centre, duration):
        """Record that a connection to `data_centre` was opened in `duration` ms."""
        duration = min(duration, MAX_SAMPLE_MS)
        known = self.of(data_centre)
        self._time_by_data_centre[data_centre] = known + SAMPLE_WEIGHT * (
            duration - known
        )

    def of(self, data_centre):
        """Return the round-trip time in ms."""
        return self._time_by_data_centre.get(data_centre, DEFAULT_ROUND_TRIP_MS)
