"""An AttemptRunner with all its parts, for a pool of connections given by a test."""

from mulberryhub.base.counters import Counters
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.forward.attempts import AttemptRunner
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.cache_directives import CacheDirectives
from mulberryhub.forward.call import Dialect
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.release_filter import ReleaseFilter
from mulberryhub.forward.release_outcomes import ReleaseOutcomes
from mulberryhub.forward.remaining_time import RemainingTime
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.speeds import UpstreamSpeeds
from mulberryhub.forward.stream_versions import StreamVersions
from mulberryhub.forward.transfer_cost import fixed_transfer_cost
from mulberryhub.releases.outcomes import OutcomeRecorder
from mulberryhub.upstream.health import UpstreamHealth
from tests.forward.attempt_fixture import RememberedOrigins
from tests.forward.fakes import make_admission, make_rate_limits


class TestedRouter:
    """An AttemptRunner, and its parts that tests look at."""

    def __init__(self, attempt_runner, loads, counters):
        self.run = attempt_runner.run
        self.record_completed = attempt_runner.record_completed
        self.loads = loads
        self.counters = counters


def make_attempt_runner(upstreams, pool, read_answer, read_others, clock):
    fleet_state = FleetState(clock)
    for upstream in upstreams:
        fleet_state.apply(upstream)
    fleet_state.mark_read_up_to(Topic.UPSTREAMS, len(upstreams), clock.now())
    counters = Counters()
    loads = Loads(read_others, clock)
    connect_health = UpstreamHealth(clock, counters)
    answer_health = UpstreamHealth(clock, counters)
    rate_limits = make_rate_limits(fleet_state, clock)
    availability = UpstreamAvailability("n1", fleet_state, rate_limits, clock, counters)
    room, admission = make_admission(
        loads, clock, counters, lambda: read_others() is not None
    )
    selector = UpstreamSelector(
        fleet_state,
        ExpectedDelay(loads.work, (room.adjust,)).of,
        fixed_transfer_cost("a"),
        connect_health,
        answer_health,
        availability,
        11_000,
        spread_cost=room.spread_cost,
    )
    release_outcomes = ReleaseOutcomes(
        OutcomeRecorder(), fleet_state.releases, clock, counters
    )
    attempt_runner = AttemptRunner(
        Dialect(None, lambda call, attempt: (call, attempt), read_answer, None),
        selector,
        pool,
        loads,
        connect_health,
        answer_health,
        availability,
        rate_limits,
        Quarantine("n1", fleet_state, None, None, clock, counters),
        RemainingTime(clock),
        StreamVersions(RememberedOrigins({None}), fleet_state, clock),
        RetryBudget(BudgetRule(10_000, 0.2, 100), lambda: 1, clock),
        fleet_state,
        CacheDirectives(lambda _: "", lambda: None, fleet_state.cache_index, clock),
        UpstreamSpeeds(fleet_state, read_others, clock),
        admission,
        ReleaseFilter(fleet_state),
        release_outcomes,
        clock,
        counters,
    )
    return TestedRouter(attempt_runner, loads, counters)
