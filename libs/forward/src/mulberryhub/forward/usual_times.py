"""The usual times of a service's responses, which a single response is compared with.

Times are compared as binary logarithms, so that twice as fast counts as much as twice
as slow. What is already known of the speed of the upstream is subtracted first. So the
usual times do not depend on which upstreams a router sends to.
"""

MAX_SAMPLE_COUNT = 64  # that the mean is made of, in effect
MIN_SAMPLE_COUNT = 8  # before responses are compared with the mean


class UsualTime:
    """The mean of the logarithms, and the number of samples that it is made of."""

    __slots__ = ("mean", "count")

    def __init__(self):
        self.mean = 0
        self.count = 0


class UsualTimes:
    """The usual times by key, such as a service and a kind of measurement."""

    __slots__ = ("_times_by_key",)

    def __init__(self):
        self._times_by_key = {}

    def compare(self, key, log_time, log_slowness):
        """Return how much longer than usual a response took, None if not yet known.

        `log_time` is the logarithm of its time, and `log_slowness` that of the known
        slowness of its upstream.
        """
        usual = self._times_by_key.get(key)
        if usual is None:
            usual = self._times_by_key[key] = UsualTime()
        usual.count = min(usual.count + 1, MAX_SAMPLE_COUNT)
        usual.mean += (log_time - log_slowness - usual.mean) / usual.count
        return log_time - usual.mean if usual.count >= MIN_SAMPLE_COUNT else None
