"""Records the outcomes of attempts by software version while a release is running."""

from mulberryhub.http.messages import (
    ConnectionFailed,
    ResponseBroken,
    ResponseMalformed,
    ResponseTimeout,
    ResponseTruncated,
)
from mulberryhub.releases.outcomes import Result

MIN_SERVER_ERROR_STATUS = 500
COUNTS_INTERVAL_MS = 100  # usage is measured more often than counts are needed


class ReleaseOutcomes:
    """Records in `recorder`, an OutcomeRecorder, what attempts show of a version.

    Nothing is recorded for services without a running release.
    """

    __slots__ = (
        "_recorder",
        "_releases",
        "_clock",
        "_counters",
        "_services",
        "_counts",
        "_counted_at",
    )

    def __init__(self, recorder, releases, clock, counters):
        self._recorder = recorder
        self._releases = releases
        self._clock = clock
        self._counters = counters
        self._services = set()  # whose outcomes are being recorded
        self._counts = {}
        self._counted_at = None

    def counts(self):
        """Return the counts of the running releases, empty without one."""
        states = self._releases.running_states()
        for service in self._services - {state.service for state in states}:
            self._recorder.stop(service)
        for state in states:
            self._recorder.reset(state.service, state.release)
        self._services = {state.service for state in states}
        if not states:
            return {}
        now = self._clock.now()
        if self._counted_at is None or now - self._counted_at >= COUNTS_INTERVAL_MS:
            self._counted_at = now
            self._counts = self._recorder.counts()
        return dict(self._counts)

    def record_sent(self, job, attempt):
        """Record that an attempt of `job` is about to be sent."""
        if not self._is_running(job):
            return
        self._add("sent", attempt)
        self._recorder.record_sent(*_source(job, attempt), is_retry=job.sends > 0)

    def record_first_byte(self, job, attempt):
        """Record that the answer of an attempt begins now."""
        if self._is_running(job):
            time = self._clock.now() - attempt.sent_at
            self._recorder.record_first_byte(*_source(job, attempt), time)

    def record_served(self, job, attempt):
        """Record that an answer was relayed to its end."""
        if self._is_running(job):
            is_error = (job.status or 0) >= MIN_SERVER_ERROR_STATUS
            result = Result.FAILED if is_error else Result.SERVED
            self._record(job, attempt, result, attempt.longest_pause())

    def record_failed(self, job, attempt, error):
        """Record that an attempt failed with `error`, None for an error status."""
        if not self._is_running(job):
            return
        if isinstance(error, ResponseTimeout) and attempt.answered_at is None:
            self.record_first_byte(job, attempt)
        result = Result.LOST if _is_lost(error) else Result.FAILED
        self._record(job, attempt, result, attempt.longest_pause(self._clock.now()))

    def _record(self, job, attempt, result, longest_pause):
        self._add(result.name.lower(), attempt)
        self._recorder.record(*_source(job, attempt), result, longest_pause)

    def _add(self, measure, attempt):
        version = attempt.upstream.software_version
        self._counters.add(f"release.{measure}.{version}")

    def _is_running(self, job):
        state = self._releases.state(job.service.name)
        return state is not None and state.is_running


def _source(job, attempt):
    return job.service.name, job.route.name, attempt.upstream.software_version


def _is_lost(error):
    """Return whether the upstream ended or refused the connection."""
    if isinstance(error, ResponseTruncated):
        return True
    if isinstance(error, ResponseMalformed | ResponseTimeout):
        return False
    return isinstance(error, ResponseBroken | ConnectionFailed)
