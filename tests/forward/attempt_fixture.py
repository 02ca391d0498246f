"""A router's AttemptRunner with upstreams of which each attempt's outcome is set."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.stream_origins import OriginUnknown, StreamOrigin
from mulberryhub.forward.attempts import AttemptRunner
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.cache_directives import CacheDirectives
from mulberryhub.forward.call import AnswerFacts, Dialect
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.refusal import Refusal
from mulberryhub.forward.release_filter import ReleaseFilter
from mulberryhub.forward.release_outcomes import ReleaseOutcomes
from mulberryhub.forward.remaining_time import RemainingTime
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.speeds import UpstreamSpeeds
from mulberryhub.forward.stream_versions import StreamVersions
from mulberryhub.forward.transfer_cost import fixed_transfer_cost
from mulberryhub.http.messages import (
    ConnectionFailed,
    Headers,
    ResponseBroken,
    ResponseHead,
    ResponseTimeout,
)
from mulberryhub.releases.outcomes import OutcomeRecorder
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward.fakes import (
    make_admission,
    make_call,
    make_rate_limits,
    make_route,
    make_service,
    make_upstream,
)

OK, FAILED, NOT_RUN = "ok", "failed", "not_run"
UNREACHABLE, BROKEN, SILENT, UNSEALED, STRAY = (
    "unreachable",
    "broken",
    "silent",
    "unsealed",
    "stray",
)
STATUS_BY_OUTCOME = {OK: 200, FAILED: 500, NOT_RUN: 503, UNSEALED: 200, STRAY: 200}
MAY_HAVE_RUN = {OK, FAILED, BROKEN, SILENT, UNSEALED}


class FakeHead(ResponseHead):
    """A head that knows the outcome of which it is a part."""

    __slots__ = ("is_stray", "outcome")


class FakeConnection:
    """A connection to an upstream that answers with `outcome`."""

    def __init__(self, outcome, fixture):
        self.outcome = outcome
        self.opened_at = fixture.clock.now()
        self._fixture = fixture
        self._strays = 1 if outcome == STRAY else 0

    def send(self, request, timeout):
        self._fixture.sent.append(self.outcome)

    def read_head(self, timeout):
        if self.outcome == BROKEN:
            raise ResponseBroken("reset")
        if self.outcome == SILENT:
            self._fixture.clock.advance(timeout)
            raise ResponseTimeout("silent")
        head = FakeHead(STATUS_BY_OUTCOME[self.outcome], Headers())
        head.is_stray = bool(self._strays)
        head.outcome = self.outcome
        return head

    def skip_response(self, request, timeout):
        self._strays -= 1

    def close(self):
        pass


class RememberedOrigins:
    """The origins of streams that one router began; `versions` are in service.

    Streams may begin on `barred` ones after `time_until_begin(...)` ms.
    """

    def __init__(self, versions):
        self.versions = versions
        self.version_by_attempt = {}
        self.barred = ()
        self.wait = 0

    def record_begun(self, service, attempt_id, software_version):
        self.version_by_attempt[service, attempt_id] = software_version

    def find(self, service, attempt_id):
        if len(self.versions) == 1:
            return StreamOrigin(*self.versions, is_any=True)
        if (service, attempt_id) not in self.version_by_attempt:
            raise OriginUnknown
        return StreamOrigin(self.version_by_attempt[service, attempt_id])

    def may_begin(self, service, software_version):
        return software_version not in self.barred

    def time_until_begin(self, service):
        return self.wait


class Fixture:
    """An AttemptRunner with upstreams whose attempts have the given outcomes.

    There is one upstream for each of `software_versions`.
    """

    def __init__(self, outcomes, kind, software_versions=(None,) * 6, **route_values):
        self.clock = ManualClock(now=1_000)
        self.outcomes = list(outcomes)
        self.sent = []
        self.connected = []
        self.is_shutting_down = False
        self.pause = None
        self.work_while_connecting = []
        self.software_versions = software_versions
        self.versions_used = []
        self.draw = 0
        self.exchange = None
        self.remaining_time = RemainingTime(self.clock)
        self.fleet_state = fleet_state = FleetState(self.clock)
        for index, version in enumerate(software_versions):
            fleet_state.apply(
                make_upstream(f"u{index}", index + 1, software_version=version)
            )
        self.loads = loads = Loads(Usage, self.clock)
        self.connect_health = connect_health = UpstreamHealth(self.clock, Counters())
        self.answer_health = answer_health = UpstreamHealth(self.clock, Counters())
        rate_limits = make_rate_limits(fleet_state, self.clock)
        availability = UpstreamAvailability(
            "n1", fleet_state, rate_limits, self.clock, Counters()
        )
        budget = RetryBudget(BudgetRule(10_000, 0.2, 100), lambda: 1, self.clock)
        dialect = Dialect(None, lambda call, attempt: None, self.read_answer, None)
        self.origins = RememberedOrigins(set(software_versions))
        fleet_state.mark_read_up_to(Topic.UPSTREAMS, 1, self.clock.now())
        self.stream_versions = StreamVersions(self.origins, fleet_state, self.clock)
        room, admission = make_admission(loads, self.clock, Counters())
        self.release_filter = ReleaseFilter(fleet_state, lambda: self.draw)
        self.release_outcomes = ReleaseOutcomes(
            OutcomeRecorder(), fleet_state.releases, self.clock, Counters()
        )
        self.attempt_runner = AttemptRunner(
            dialect,
            UpstreamSelector(
                fleet_state,
                ExpectedDelay(loads.work, (room.adjust,)).of,
                fixed_transfer_cost("a"),
                connect_health,
                answer_health,
                availability,
                11_000,
                spread_cost=room.spread_cost,
            ),
            self,
            loads,
            connect_health,
            answer_health,
            availability,
            rate_limits,
            Quarantine(
                "n1", fleet_state, self.is_refused, None, self.clock, Counters()
            ),
            self.remaining_time,
            self.stream_versions,
            budget,
            fleet_state,
            CacheDirectives(
                lambda workspace: "",
                lambda: None,
                fleet_state.cache_index,
                self.clock,
            ),
            UpstreamSpeeds(fleet_state, Usage, self.clock),
            admission,
            self.release_filter,
            self.release_outcomes,
            self.clock,
            Counters(),
            lambda *args: self.connected.append(args),
        )
        call = make_call(arrived_at=1_000)
        route = make_route(kind, **route_values)
        self.job = Job(call, route, make_service(), None, 5_000)

    @staticmethod
    def is_refused(address, timeout):
        return False

    def read_answer(self, head, attempt):
        request_id = "other" if head.is_stray else "id-1"
        is_sealed = head.outcome != UNSEALED
        return AnswerFacts(
            request_id,
            head.outcome == NOT_RUN,
            None,
            is_sealed,
            None,
            self.is_shutting_down,
            self.pause,
        )

    def take_idle(self, address, max_idle=None):
        return None

    def open(self, address, timeout):
        index = int(address.split(":")[0].rpartition(".")[2]) - 1
        self.work_while_connecting.append(self.loads.work(f"u{index}"))
        self.versions_used.append(self.software_versions[index])
        outcome = self.outcomes.pop(0) if self.outcomes else OK
        if outcome == UNREACHABLE:
            raise ConnectionFailed("unreachable")
        return FakeConnection(outcome, self)

    def close_idle(self, address):
        pass

    def run(self):
        """Return the status that the client receives."""
        try:
            exchange = self.attempt_runner.run(self.job)
        except Refusal as refusal:
            return refusal.reason.status
        exchange.cancel()
        self.exchange = exchange
        return exchange.head.status

    def start_next_job(self):
        """Replace the job by another request of the same kind."""
        self.job = Job(self.job.call, self.job.route, self.job.service, None, 5_000)

    def runs(self):
        return sum(1 for outcome in self.sent if outcome in MAY_HAVE_RUN)
