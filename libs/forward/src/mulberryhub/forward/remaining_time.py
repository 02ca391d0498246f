"""Decides whether enough time is left to send a request to an upstream.

A router that stops sends a request only if its answer can be complete before the
router ends. Clients of the others are told at once to come back, and take the request
to another router while they still have time.

- A request that may run only once must surely end. The only sure bound of its run is
  its deadline, the earlier of the client's and that of the route's timeout.
- A request that may run again is expected to last as long as the longest of the recent
  runs like it, at most until its deadline. If it lasts longer, the client repeats it.
- The same holds for a stream that can be resumed: an interruption midway costs the
  client a pause and the upstreams the prompt a second time, while a rejection costs
  one more connection. Without recent runs, its deadline counts.
"""

from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.run_times import RunTimes

MIN_UPSTREAM_TIME_MS = 15  # an attempt with less time left is not sent
ANSWER_MARGIN_MS = 100  # to deliver an answer before the router ends
# Clients take a rejected request to another router, which need not wait.
STOPPING_RETRY_AFTER_MS = 20


class RemainingTime:
    """The time left for requests: until their deadlines, and until the router stops."""

    __slots__ = ("_run_times", "_clock", "_ends_at")

    def __init__(self, clock):
        self._run_times = RunTimes()
        self._clock = clock
        self._ends_at = None

    def begin_stop(self, ends_at):
        """Reject from now on what cannot be complete at `ends_at` (clock ms)."""
        self._ends_at = ends_at

    def record_completed(self, job):
        """Record that `job` was answered successfully and to the end."""
        duration = self._clock.now() - job.call.request.arrived_at
        self._run_times.record(job, duration)

    def check(self, job):
        """Raise Refusal if the time left does not allow to send `job` now."""
        time_left = job.deadline - self._clock.now()
        if time_left < MIN_UPSTREAM_TIME_MS:
            if job.runs:
                raise Refusal(Reason.UPSTREAM_SILENT)
            raise Refusal(Reason.OUT_OF_TIME)
        if self._ends_at is not None:
            self._check_stop(job, time_left)

    def _check_stop(self, job, time_left):
        time_to_stop = self._ends_at - self._clock.now()
        if self._expected_time(job, time_left) + ANSWER_MARGIN_MS <= time_to_stop:
            return
        if not job.runs:
            raise Refusal(Reason.STOPPING, STOPPING_RETRY_AFTER_MS)
        if job.failure_reason is None or job.failure_reason.promises_not_run:
            raise Refusal(Reason.UPSTREAM_FAILED)
        raise Refusal(job.failure_reason)

    def _expected_time(self, job, time_left):
        """Return the time in ms after which the answer of `job` is complete."""
        if not job.is_repeatable:
            return time_left
        longest = self._run_times.longest(job)
        return time_left if longest is None else min(longest, time_left)


def stop_refusal(job):
    """Return the Refusal of `job`, or of None, whose router ends before its answer.

    It states that the request has not run only if that is true.
    """
    if job is not None and job.runs:
        return Refusal(Reason.STOPPED)
    return Refusal(Reason.STOPPING, STOPPING_RETRY_AFTER_MS)
