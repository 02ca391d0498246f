"""Attempts to serve a completion: opens, resumes and fails over engine streams."""

from functools import partial

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import spawn_n
from mulberryhub.gateway.engine_candidates import EngineCandidates
from mulberryhub.gateway.engine_tries import (
    open_stream,
    resume_or_failure,
    resume_stream,
)
from mulberryhub.gateway.failover import StreamBreaks
from mulberryhub.gateway.suspect_runs import SuspectRuns
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineErrorResponse,
    EngineFailure,
    EngineTimeout,
    StreamNotFound,
)
from mulberryhub.upstream.messages import StreamEnd, Token

FAILURE_RETRY_AFTER_MS = 1_000
BAD_REQUEST_STATUSES = frozenset({400, 413, 422})


class EngineAttempts:
    """The successive attempts to serve one engine request.

    After a failure, the stream is resumed on the same engine if possible. Otherwise
    another engine continues from the tokens delivered so far.

    `upstream_id` is the id of the current engine and `incarnation` identifies the
    run of its process. `token_count` is the number of tokens delivered. `was_sent`
    tells whether the call may have been executed by any engine, and `was_opened`
    whether this router opened a stream for it.
    """

    __slots__ = (
        "upstream_id",
        "incarnation",
        "token_count",
        "was_sent",
        "was_opened",
        "_dependencies",
        "_decision",
        "_engine_request",
        "_stream",
        "_texts",
        "_request_started_at",
        "_attempt_started_at",
        "_has_received_items",
        "_breaks",
        "_has_reached_engine",
        "_suspect_runs",
        "_candidates",
    )

    def __init__(self, dependencies, decision, engine_request):
        self.upstream_id = None
        self.incarnation = ""
        self.token_count = engine_request.delivered_tokens
        self.was_sent = False
        self.was_opened = False
        self._dependencies = dependencies
        self._decision = decision
        self._engine_request = engine_request
        self._stream = None
        self._texts = (
            [engine_request.delivered_text] if engine_request.delivered_text else []
        )
        self._request_started_at = dependencies.clock.now()
        self._attempt_started_at = self._request_started_at
        self._has_received_items = False
        self._breaks = StreamBreaks()
        self._has_reached_engine = False
        self._suspect_runs = SuspectRuns(
            dependencies.suspects, engine_request.request_id, decision.request.chain
        )
        self._candidates = EngineCandidates(
            dependencies, self._suspect_runs, self._execution_state
        )

    def open(self):
        """Open a stream on the first engine that accepts the call.

        Raise ApiError if no engine does.
        """
        self._dependencies.retry_budget.record_request()
        self._open_on_any(self._decision.ranked_engine_ids)

    def resume_from_start(self, upstream_id, incarnation):
        """Resume a stream that another router opened, from its first token.

        All of its text is read again, because it is needed if another engine has to
        continue the stream. Raise EngineFailure if the engine no longer has it.
        """
        upstream = self._candidates.find(upstream_id)
        if upstream is None:
            raise StreamNotFound("the engine has left")
        self.incarnation = incarnation
        self._start_attempt(upstream_id)
        try:
            self._resume_on(upstream)
        except EngineFailure:
            self._end_attempt()
            raise

    def next_items(self):
        """Wait for output and return its Token and StreamEnd items, at least one.

        Raise ApiError if no engine can continue the stream.
        """
        while True:
            try:
                items = self._stream.read_available()
            except EngineFailure as failure:
                self._recover(failure)
            else:
                self._record_items(items)
                return items

    def close(self):
        """Close the stream, which stops the engine's work if it is unfinished."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        self._end_attempt()

    def _record_items(self, items):
        if not self._has_received_items:
            self._record_first_items()
        for item in items:
            if isinstance(item, Token):
                self._texts.append(item.text)
                self.token_count += 1
        is_end = isinstance(items[-1], StreamEnd)
        self._suspect_runs.record_output(self.token_count, is_end)

    def _record_first_items(self):
        self._has_received_items = True
        elapsed_ms = self._dependencies.clock.now() - self._attempt_started_at
        self._dependencies.policy.record_first_token(
            self._decision, self.upstream_id, self._stream.cached_tokens, elapsed_ms
        )
        self._dependencies.health.record_success(self.upstream_id)

    # Opening a stream

    def _open_on_any(self, upstream_ids, failure=None):
        """Open a stream on the first of the upstreams that accepts the call.

        `failure` is the one after which it is tried, or None.
        """
        for upstream in self._candidates.permitted(upstream_ids, self.token_count):
            if self.was_sent and not self._candidates.wait_for_retry():
                break
            self._start_attempt(upstream.id)
            try:
                self._open_on(upstream)
                return
            except EngineFailure as error:
                failure = error
                self._handle_open_failure(upstream, error)
        raise self._no_engine_error(failure)

    def _record_crash(self, failure):
        """Record a crash if the engine is gone or restarted after it got the request.

        A failed connection counts as gone.
        """
        is_gone = isinstance(failure, ConnectFailed)
        if isinstance(failure, StreamNotFound) and failure.incarnation:
            is_gone = failure.incarnation != self.incarnation
        if is_gone and self._has_reached_engine:
            self._suspect_runs.record_crash(f"{self.upstream_id}/{self.incarnation}")

    def _open_on(self, upstream):
        """Open a stream on one engine, with several tries."""
        stream = open_stream(
            self._dependencies.engine_client,
            upstream,
            self._engine_request,
            self._record_sent,
            self._count_retry,
        )
        self._set_opened_stream(stream)

    def _record_sent(self):
        self.was_sent = True
        self._has_reached_engine = True

    def _set_opened_stream(self, stream):
        self._record_sent()
        self.was_opened = True
        self._stream = stream
        self.incarnation = stream.incarnation
        self._dependencies.engine_monitor.record_incarnation(
            self.upstream_id, stream.incarnation
        )

    def _handle_open_failure(self, upstream, failure):
        """End the attempt on an engine that did not open a stream.

        Raise ApiError if the engine rejected the request as invalid; no other engine
        is tried then.
        """
        self._count_retry(failure)
        self._record_crash(failure)
        self.was_sent = self.was_sent or failure.may_have_been_sent
        if not isinstance(failure, EngineErrorResponse):
            self._record_failure_and_cancel(upstream, failure)
        elif failure.may_have_been_sent:
            self._cancel(upstream)
        elif failure.status in BAD_REQUEST_STATUSES:
            raise ApiError(ErrorCode.BAD_REQUEST, str(failure), self._execution_state())
        self._end_attempt()

    def _record_failure_and_cancel(self, upstream, failure):
        """Mark the engine as failed and cancel the request if it may still run."""
        if not isinstance(failure, StreamNotFound):
            self._dependencies.health.record_failure(upstream.id)
        if not isinstance(failure, ConnectFailed):
            self._cancel(upstream)

    def _cancel(self, upstream):
        """Cancel the request on `upstream` in the background."""
        cancel = self._dependencies.engine_client.cancel
        spawn_n(cancel, upstream, self._engine_request.request_id)

    def _start_attempt(self, upstream_id):
        self.upstream_id = upstream_id
        self._has_reached_engine = False
        self._attempt_started_at = self._dependencies.clock.now()
        self._has_received_items = False
        self._dependencies.policy.record_sent(self._decision, upstream_id)

    def _end_attempt(self):
        self._suspect_runs.release_lease()
        if self.upstream_id is not None:
            self._dependencies.policy.record_ended(self._decision, self.upstream_id)
            self.upstream_id = None

    # Recovery of a broken stream

    def _recover(self, failure):
        """Resume the stream on its engine or continue it on another one.

        Raise ApiError if neither is possible.
        """
        self._count_retry(failure)
        self._check_first_token_deadline()
        self._engine_request.delivered_tokens = self.token_count
        self._engine_request.delivered_text = "".join(self._texts)
        upstream = self._candidates.find(self.upstream_id)
        if upstream is not None and self._should_resume(failure):
            resume = partial(self._resume_on, upstream)
            failure = resume_or_failure(resume, self._count_retry)
            if failure is None:
                return
        self._fail_over(upstream, failure)

    def _check_first_token_deadline(self):
        elapsed_ms = self._dependencies.clock.now() - self._request_started_at
        if self.token_count or elapsed_ms < self._engine_request.first_token_timeout:
            return
        raise ApiError(
            ErrorCode.DEADLINE,
            "no token came in time",
            ExecutionState.RAN,
            FAILURE_RETRY_AFTER_MS,
        )

    def _should_resume(self, failure):
        """Return whether the engine makes progress or has not yet begun.

        Silence before the first token does not count, as the engine may not have begun.
        """
        if isinstance(failure, StreamNotFound):
            return False
        if isinstance(failure, EngineTimeout) and self.token_count == 0:
            return True
        return self._breaks.should_resume(self.token_count)

    def _resume_on(self, upstream):
        stream = resume_stream(
            self._dependencies.engine_client,
            upstream,
            self._engine_request,
            self.incarnation,
        )
        self._record_sent()
        self._stream = stream

    def _fail_over(self, upstream, failure):
        """Continue the stream on another engine, or on the current one if no other can.

        `upstream` is the current engine, or None if it is no longer in the inventory.
        """
        self._stream = None
        self._record_crash(failure)
        upstream_ids = self._breaks.other_engines(
            self._decision.ranked_engine_ids, self.upstream_id, self.token_count
        )
        if upstream is not None:
            self._record_failure_and_cancel(upstream, failure)
        self._end_attempt()
        self._open_on_any(upstream_ids, failure)

    def _execution_state(self):
        """Return whether any engine has executed or may have executed the call."""
        if not self.was_sent:
            return ExecutionState.NOT_RUN
        return ExecutionState.RAN if self.token_count else ExecutionState.UNKNOWN

    def _no_engine_error(self, failure):
        code = ErrorCode.UPSTREAM_FAILED
        if isinstance(failure, EngineTimeout):
            code = ErrorCode.UPSTREAM_SILENT
        message = f"no engine could answer: {failure or 'none is left'}"
        return ApiError(code, message, self._execution_state(), FAILURE_RETRY_AFTER_MS)

    def _count_retry(self, failure):
        self._dependencies.counters.add(f"retry.{failure.reason}")
