"""Keeps one answer coming: opens, resumes and continues it until its end."""

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.upstream.budget import backoff
from mulberryhub.upstream.errors import (
    AnswerCrossed,
    ConnectFailed,
    EngineFailure,
    EngineRefused,
    EngineSilent,
    StreamCut,
    StreamUnknown,
)
from mulberryhub.upstream.messages import End, Token

FAILED_RETRY = 1_000  # ms
BAD_REQUEST_STATUSES = frozenset({400, 413, 422})
MAX_TRIES = 3  # on one engine
TURN_TIMEOUT = 60_000  # ms
CLEARING_TOKENS = 8  # new tokens after which a suspect is cleared
MAX_STALLS = 2  # resumptions without a new token, once there was a first one

# Failures of a connection after which the engine may well be working on the request.
CONNECTION_FAILURES = (AnswerCrossed, EngineSilent, StreamCut)


class RelayServices:
    """What the relays of one router share."""

    __slots__ = (
        "engines",
        "policy",
        "health",
        "watcher",
        "budget",
        "signer",
        "suspects",
        "confirmed_view",
        "counters",
        "clock",
    )

    def __init__(
        self,
        engines,
        policy,
        health,
        watcher,
        budget,
        signer,
        suspects,
        confirmed_view,
        counters,
        clock,
    ):
        self.engines = engines
        self.policy = policy
        self.health = health
        self.watcher = watcher
        self.budget = budget
        self.signer = signer
        self.suspects = suspects
        self.confirmed_view = confirmed_view
        self.counters = counters
        self.clock = clock


class Attempts:
    """The attempts to answer one call, one after another.

    A break is resumed on the engine, or else continued on another one with what
    was delivered. `tokens` counts what was handed out, `upstream_id` is the engine
    in use, `sent` tells whether the call may have run, and `opened` whether this
    router had it run.
    """

    __slots__ = (
        "upstream_id",
        "incarnation",
        "tokens",
        "sent",
        "opened",
        "_services",
        "_decision",
        "_call",
        "_stream",
        "_texts",
        "_first_started",
        "_started",
        "_answered",
        "_stalls",
        "_stalled_at",
        "_retries",
        "_fingerprint",
        "_reached",
        "_turn",
        "_cleared_at",
    )

    def __init__(self, services, decision, call):
        self.upstream_id = None
        self.incarnation = ""
        self.tokens = call.tokens
        self.sent = False
        self.opened = False
        self._services = services
        self._decision = decision
        self._call = call
        self._stream = None
        self._texts = [call.text] if call.text else []
        self._first_started = services.clock.now()
        self._started = self._first_started
        self._answered = False
        self._stalls = 0
        self._stalled_at = -1
        self._retries = 0
        self._fingerprint = decision.request.chain[-1].hex()
        self._reached = False
        self._turn = None
        self._cleared_at = 0

    def open(self):
        """Open the stream on the first engine that takes it or raise HubError."""
        self._services.budget.earn()
        self._open_first(self._decision.order)

    def reopen(self, upstream_id, incarnation):
        """Resume a stream that another router had opened, from its first token.

        So its text is known, should it have to be continued elsewhere. Raise
        EngineFailure where the engine does not keep it.
        """
        upstream = self._upstream(upstream_id)
        if upstream is None:
            raise StreamUnknown("the engine has left")
        self.incarnation = incarnation
        self._begin(upstream_id)
        try:
            self._resume_on(upstream)
        except EngineFailure:
            self._end()
            raise

    def batch(self):
        """Return the items that have arrived, at least one, or raise HubError."""
        while True:
            try:
                items = self._stream.batch()
            except EngineFailure as failure:
                self._recover(failure)
            else:
                self._note(items)
                return items

    def close(self):
        """End the work on the engine, unless it has ended by itself."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        self._end()

    def _note(self, items):
        if not self._answered:
            self._note_answer()
        for item in items:
            if isinstance(item, Token):
                self._texts.append(item.text)
                self.tokens += 1
        if self._turn is not None:
            self._check_cleared(items)

    def _check_cleared(self, items):
        """Give the turn back once the request has shown that it crashes nothing."""
        if self.tokens >= self._cleared_at or isinstance(items[-1], End):
            self._services.suspects.clear(self._fingerprint)
            self._release_turn()

    def _note_answer(self):
        self._answered = True
        elapsed = self._services.clock.now() - self._started
        self._services.policy.answered(
            self._decision, self.upstream_id, self._stream.cached_tokens, elapsed
        )
        self._services.health.answered(self.upstream_id)

    # Opening

    def _open_first(self, upstream_ids):
        failure = None
        for upstream in self._in_turn(list(self._upstreams(upstream_ids))):
            if not self._may_try():
                break
            self._begin(upstream.id)
            try:
                self._open_on(upstream)
                return
            except EngineFailure as error:
                failure = error
                self._abandon(upstream, error)
        raise self._given_up(failure)

    def _upstreams(self, upstream_ids):
        """Yield the upstreams that are still in the inventory, the healthy first."""
        for id_ in self._services.health.ordered(upstream_ids):
            upstream = self._upstream(id_)
            if upstream is not None:
                yield upstream

    def _upstream(self, upstream_id):
        """Return the upstream while the inventory in force has it, else None."""
        try:
            view = self._services.confirmed_view()
        except HubError as error:
            error.ran = self._ran()
            raise
        return view.upstreams_by_id.get(upstream_id)

    def _in_turn(self, upstreams):
        """Yield each upstream, for a suspect when it has its turn there."""
        deadline = self._services.clock.now() + TURN_TIMEOUT
        while upstreams:
            for upstream in list(upstreams):
                self._refuse_quarantined()
                if self._may_run_on(upstream):
                    upstreams.remove(upstream)
                    yield upstream
            if self._services.clock.now() > deadline:
                return
            if upstreams:
                self._services.suspects.wait_for_retry()

    def _may_run_on(self, upstream):
        suspects = self._services.suspects
        if not suspects.is_suspect(self._fingerprint):
            return True
        if not suspects.acquire_lease(upstream.id, self._call.request_id):
            return False
        self._turn = upstream.id
        self._cleared_at = self.tokens + CLEARING_TOKENS
        return True

    def _release_turn(self):
        engine_id, self._turn = self._turn, None
        if engine_id is not None:
            self._services.suspects.release_lease(engine_id, self._call.request_id)

    def _refuse_quarantined(self):
        """Raise HubError for a request that has crashed two engines."""
        if not self._services.suspects.is_quarantined(self._fingerprint):
            return
        message = "the request crashes engines"
        raise HubError(Code.QUARANTINED, message, self._ran())

    def _note_crash(self, failure):
        """Report the request where the engine that it had reached is gone."""
        is_gone = isinstance(failure, ConnectFailed)
        if isinstance(failure, StreamUnknown) and failure.incarnation:
            is_gone = failure.incarnation != self.incarnation
        if is_gone and self._reached:
            had_lease = self._turn is not None
            self._services.suspects.record_crash(self._fingerprint, had_lease)

    def _may_try(self):
        """Pause before a retry; False when the budget for retries is used up."""
        if not self.sent:
            return True
        if not self._services.budget.spend():
            self._services.counters.add("refusal.retry_budget")
            return False
        sleep(backoff(self._retries) / 1000)
        self._retries += 1
        return True

    def _open_on(self, upstream):
        """Open on one engine; each try after the first has a fresh connection."""
        send = self._services.engines.open
        for tries_left in reversed(range(MAX_TRIES)):
            try:
                self._take(send(upstream, self._call))
                return
            except CONNECTION_FAILURES as failure:
                self.sent = True
                self._reached = True
                if not tries_left or self._is_dead(failure, tries_left):
                    raise
                self._count(failure)
            send = self._find_or_send

    @staticmethod
    def _is_dead(failure, tries_left):
        """Return whether a fresh connection was silent as well."""
        return isinstance(failure, EngineSilent) and tries_left < MAX_TRIES - 1

    def _find_or_send(self, upstream, call):
        """Look for the request on the engine, or else send it again."""
        try:
            return self._services.engines.resume(upstream, call)
        except StreamUnknown:
            return self._services.engines.open(upstream, call)

    def _take(self, stream):
        self.sent = True
        self.opened = True
        self._reached = True
        self._stream = stream
        self.incarnation = stream.incarnation
        self._services.watcher.note_incarnation(self.upstream_id, stream.incarnation)

    def _abandon(self, upstream, failure):
        """Give up on one engine that did not take the call."""
        self._count(failure)
        self._note_crash(failure)
        self.sent = self.sent or failure.sent
        if not isinstance(failure, EngineRefused):
            self._leave(upstream, failure)
        elif failure.status in BAD_REQUEST_STATUSES:
            raise HubError(Code.BAD_REQUEST, str(failure), self._ran())
        self._end()

    def _leave(self, upstream, failure):
        """Cancel what may still run on an engine, and note that it failed."""
        if not isinstance(failure, StreamUnknown):
            self._services.health.failed(upstream.id)
        if not isinstance(failure, ConnectFailed):
            spawn_n(self._services.engines.cancel, upstream, self._call.request_id)

    def _begin(self, upstream_id):
        self.upstream_id = upstream_id
        self._reached = False
        self._started = self._services.clock.now()
        self._answered = False
        self._services.policy.started(self._decision, upstream_id)

    def _end(self):
        self._release_turn()
        if self.upstream_id is not None:
            self._services.policy.ended(self._decision, self.upstream_id)
            self.upstream_id = None

    # Breaks

    def _recover(self, failure):
        """Go on after a break, on the same engine or elsewhere, or raise HubError."""
        self._count(failure)
        self._stream = None
        self._check_deadline()
        self._call.tokens = self.tokens
        self._call.text = "".join(self._texts)
        upstream = self._upstream(self.upstream_id)
        if upstream is not None and self._may_resume(failure):
            failure = self._resume_or_failure(upstream)
            if failure is None:
                return
        self._continue_elsewhere(upstream, failure)

    def _resume_or_failure(self, upstream):
        """Resume on fresh connections; return None or why that failed."""
        failure = None
        for _ in range(MAX_TRIES - 1):
            try:
                self._resume_on(upstream)
                return None
            except CONNECTION_FAILURES as error:
                failure = error
                self._count(error)
            except EngineFailure as error:
                return error
        return failure

    def _check_deadline(self):
        elapsed = self._services.clock.now() - self._first_started
        if self.tokens or elapsed < self._call.first_token_timeout:
            return
        raise HubError(Code.DEADLINE, "no token came in time", Ran.RAN, FAILED_RETRY)

    def _may_resume(self, failure):
        """Return whether the engine makes progress, or is yet to begin."""
        if isinstance(failure, StreamUnknown):
            return False
        if isinstance(failure, EngineSilent) and self.tokens == 0:
            return True
        self._stalls = 0 if self.tokens > self._stalled_at else self._stalls + 1
        self._stalled_at = self.tokens
        return self._stalls < MAX_STALLS

    def _resume_on(self, upstream):
        stream = self._services.engines.resume(upstream, self._call)
        if stream.incarnation != self.incarnation:
            stream.close()
            raise StreamUnknown("the engine has restarted", stream.incarnation)
        self.sent = True
        self._reached = True
        self._stream = stream

    def _continue_elsewhere(self, upstream, failure):
        """Continue from what was delivered; the same engine comes last."""
        self._note_crash(failure)
        current = self.upstream_id
        order = [id_ for id_ in self._decision.order if id_ != current]
        if upstream is not None:
            self._leave(upstream, failure)
            order.append(current)
        self._end()
        self._open_first(order)

    def _ran(self):
        """Tell whether any try, on any engine, may have run."""
        if not self.sent:
            return Ran.NOT_RUN
        return Ran.RAN if self.tokens else Ran.UNKNOWN

    def _given_up(self, failure):
        code = Code.UPSTREAM_FAILED
        if isinstance(failure, EngineSilent):
            code = Code.UPSTREAM_SILENT
        message = f"no engine could answer: {failure or 'none is left'}"
        return HubError(code, message, self._ran(), FAILED_RETRY)

    def _count(self, failure):
        self._services.counters.add(f"retry.{failure.reason}")
