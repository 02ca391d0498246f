"""The engines on which a request may run, one after the other."""

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import sleep
from mulberryhub.upstream.budget import backoff_ms

LEASE_TIMEOUT_MS = 60_000


class EngineCandidates:
    """Finds the engines for one request and paces its retries.

    `execution_state()` returns the ExecutionState of the request for errors.
    """

    __slots__ = ("_dependencies", "_suspect_runs", "_execution_state", "_retry_count")

    def __init__(self, dependencies, suspect_runs, execution_state):
        self._dependencies = dependencies
        self._suspect_runs = suspect_runs
        self._execution_state = execution_state
        self._retry_count = 0

    def find(self, upstream_id):
        """Return the upstream from the inventory in force, or None."""
        try:
            view = self._dependencies.confirmed_view()
        except ApiError as error:
            error.execution_state = self._execution_state()
            raise
        return view.upstreams_by_id.get(upstream_id)

    def permitted(self, upstream_ids, token_count):
        """Yield each upstream when the request may run on it, healthy ones first.

        A suspect waits for a lease on each, for LEASE_TIMEOUT_MS in total. Raise
        ApiError if the request is quarantined. `token_count` is the number of tokens
        delivered.
        """
        upstreams = list(self._listed(upstream_ids))
        deadline = self._dependencies.clock.now() + LEASE_TIMEOUT_MS
        while upstreams:
            for upstream in list(upstreams):
                self._reject_if_quarantined()
                if self._suspect_runs.acquire_permission(upstream.id, token_count):
                    upstreams.remove(upstream)
                    yield upstream
            if self._dependencies.clock.now() > deadline:
                return
            if upstreams:
                self._dependencies.suspects.wait_for_retry()

    def wait_for_retry(self):
        """Wait before a retry; return False if the retry budget is exhausted."""
        if not self._dependencies.retry_budget.try_spend():
            self._dependencies.counters.add("refusal.retry_budget")
            return False
        sleep(backoff_ms(self._retry_count) / 1000)
        self._retry_count += 1
        return True

    def _listed(self, upstream_ids):
        """Yield the upstreams that are still in the inventory, healthy ones first."""
        for id_ in self._dependencies.health.avoided_last(upstream_ids):
            upstream = self.find(id_)
            if upstream is not None:
                yield upstream

    def _reject_if_quarantined(self):
        """Raise ApiError if the request, or a prefix of it, crashes engines."""
        if self._suspect_runs.is_quarantined():
            message = "the request crashes engines"
            raise ApiError(ErrorCode.QUARANTINED, message, self._execution_state())
