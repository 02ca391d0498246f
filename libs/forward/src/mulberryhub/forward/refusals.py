"""Builds the refusals of jobs that no upstream answers."""

from random import uniform

from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.stream_versions import accept_all, final_refusal

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 400
MIN_BUSY_RETRY_AFTER_MS = 200
MIN_RETRIED_SHARE = 0.2  # admitted, for which the retry time grows no further


class Refusals:
    """Builds Refusals with the time after which an upstream may accept the request.

    They state that a request has not run only if that is true.
    """

    __slots__ = ("_selector", "_stream_versions", "_admission")

    def __init__(self, selector, stream_versions, admission):
        self._selector = selector
        self._stream_versions = stream_versions
        self._admission = admission

    def no_upstream(self, job):
        """Return the Refusal of a job for which there is no upstream."""
        if job.sends:
            return self.final(job)
        accepts = self._stream_versions.filter_for(job)
        is_bound = job.stream_version is not None
        if is_bound and not self._selector.has_ready(job.service, accepts):
            return final_refusal(Reason.STREAM_VERSION_GONE)
        has_room = self._admission.filter_for(job, accepts)
        is_ready = self._selector.has_ready(job.service, accepts)
        if is_ready and not self._selector.has_ready(job.service, has_room):
            retry_after = self._admission.time_until_room(job)
            return Refusal(Reason.UPSTREAMS_FULL, _spread(retry_after))
        reason = Reason.NO_UPSTREAM
        if self._selector.is_limited(job.service):
            reason = Reason.UPSTREAMS_LIMITED
        return Refusal(reason, self._retry_after(job))

    def too_late(self, job, choice):
        """Return the Refusal of a job whose answer would be too late."""
        if job.runs:
            return self.final(job)
        if job.service.slots:
            return Refusal(
                Reason.UPSTREAMS_FULL,
                _spread(self._admission.excess_delay(job, choice)),
            )
        retry_after = uniform(
            MIN_BUSY_RETRY_AFTER_MS, max(MIN_BUSY_RETRY_AFTER_MS, choice.delay)
        )
        return Refusal(Reason.UPSTREAMS_FULL, retry_after)

    def overloaded(self, job, choice):
        """Return the Refusal of a job that exceeds what its service can serve."""
        if job.runs:
            return self.final(job)
        share = self._admission.admitted_share(job, choice)
        excess = MIN_BUSY_RETRY_AFTER_MS / max(share, MIN_RETRIED_SHARE)
        return Refusal(Reason.UPSTREAMS_FULL, _spread(excess))

    def final(self, job):
        """Return the Refusal that ends a job after attempts."""
        if job.runs:
            return Refusal(
                job.failure_reason
                if _is_upstream_failure(job)
                else Reason.UPSTREAM_FAILED
            )
        return Refusal(job.failure_reason or Reason.NO_UPSTREAM, self._retry_after(job))

    def _retry_after(self, job):
        """Return the time in ms after which an upstream may accept the request."""
        retry_after = uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        accepts = self._stream_versions.filter_for(job)
        if self._waits_for_version(job, accepts):
            return retry_after + self._stream_versions.time_until_begin(job)
        time_until_open = self._selector.time_until_open(job.service, job.flow, accepts)
        return retry_after if time_until_open is None else time_until_open + retry_after

    def _waits_for_version(self, job, accepts):
        """Return whether upstreams are ready, but only of versions that are too new."""
        if job.stream_version is not None:
            return False
        is_ready = self._selector.has_ready(job.service, accept_all)
        return is_ready and not self._selector.has_ready(job.service, accepts)


def _spread(excess):
    """Return a Retry-After in ms after an excess of `excess` ms is worked off.

    Clients that come back are spread over as long again, so that they do not make the
    same excess at once.
    """
    return max(MIN_BUSY_RETRY_AFTER_MS, excess) * uniform(1, 2)


def _is_upstream_failure(job):
    return job.failure_reason in (Reason.UPSTREAM_FAILED, Reason.UPSTREAM_SILENT)
