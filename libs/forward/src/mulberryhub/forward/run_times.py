"""Recent durations of complete runs, by service and kind of request."""

from collections import deque

RECENT_RUN_COUNT = 32


class RunTimes:
    """The durations of the most recent complete runs.

    They are kept by service and kind of request, as routes may come and go in large
    numbers.
    """

    __slots__ = ("_durations_by_key",)

    def __init__(self):
        self._durations_by_key = {}

    def record(self, job, duration):
        """Record that `job` was answered to the end, `duration` ms after it arrived."""
        key = _key(job)
        durations = self._durations_by_key.get(key)
        if durations is None:
            durations = self._durations_by_key[key] = deque(maxlen=RECENT_RUN_COUNT)
        durations.append(duration)

    def longest(self, job):
        """Return the longest recent duration in ms of runs like `job`, or None."""
        durations = self._durations_by_key.get(_key(job))
        return max(durations) if durations else None


def _key(job):
    return (job.service.name, job.route.kind)
