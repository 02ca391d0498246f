"""The usual time that a request of a service occupies a slot of its upstream."""

PRIOR_SLOT_TIME_MS = 300  # until runs are known
MIN_SLOT_TIME_MS = 1  # the clock counts whole ms; a mean of 0 would hide any queue
SAMPLE_WEIGHT = 1 / 32  # of one run in the mean


class SlotTimes:
    """The mean time of recent complete runs in a slot, by service.

    The mean over requests of all kinds, as the slots serve all of them, tells how fast
    slots become free.
    """

    __slots__ = ("_mean_by_service",)

    def __init__(self):
        self._mean_by_service = {}

    def record(self, service, duration):
        """Record that a run occupied a slot for `duration` ms."""
        mean = self.mean(service)
        mean += SAMPLE_WEIGHT * (max(MIN_SLOT_TIME_MS, duration) - mean)
        self._mean_by_service[service.name] = mean

    def mean(self, service):
        """Return the usual time in ms of a run in a slot."""
        return self._mean_by_service.get(service.name, PRIOR_SLOT_TIME_MS)
