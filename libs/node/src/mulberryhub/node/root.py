"""Composition root: builds a router from its settings and its platform's ports."""

from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.cache_watcher import CacheWatcher
from mulberryhub.fleet.follower import TopicFollower
from mulberryhub.fleet.publisher import Publisher
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.removals import DelayedRemovals
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.stream_origins import StreamOrigins
from mulberryhub.fleet.subscription import Subscription
from mulberryhub.fleet.usage import MAX_PUBLICATION_AGE_MS
from mulberryhub.forward.admission import Admission
from mulberryhub.forward.attempts import AttemptRunner
from mulberryhub.forward.availability import UpstreamAvailability
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.cache_directives import CacheDirectives
from mulberryhub.forward.demand import Demand
from mulberryhub.forward.expected_delay import ExpectedDelay
from mulberryhub.forward.forwarder import Forwarder
from mulberryhub.forward.part_places import StoredParts
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.rate_limits import UpstreamRateLimits
from mulberryhub.forward.relay import Relay
from mulberryhub.forward.release_filter import ReleaseFilter
from mulberryhub.forward.remaining_time import RemainingTime
from mulberryhub.forward.room import Room
from mulberryhub.forward.selection import UpstreamSelector
from mulberryhub.forward.slot_times import SlotTimes
from mulberryhub.forward.stream_versions import StreamVersions
from mulberryhub.http.body_memory import BodyMemory
from mulberryhub.http.pool import ConnectionPool
from mulberryhub.http.server import HttpServer
from mulberryhub.node.admission_saver import AdmissionSaver
from mulberryhub.node.coordination import (
    build_coordinator,
    build_coordinator_client,
    build_usage,
    known_usage,
)
from mulberryhub.node.gauges import add_gauges, add_speed_gauges
from mulberryhub.node.locality import build_locality
from mulberryhub.node.metrics import metrics_server
from mulberryhub.node.naming_times import NamingTimesSaver
from mulberryhub.node.readiness import readiness_server
from mulberryhub.node.release_parts import (
    build_release_controller,
    build_release_outcomes,
    release_reader,
)
from mulberryhub.node.request_limits import body_memory_capacity, request_limits
from mulberryhub.node.router import Router, RouterParts
from mulberryhub.node.source_selection import build_source_selector
from mulberryhub.node.suspect_saver import SuspectSaver
from mulberryhub.node.topics import topic_plans
from mulberryhub.node.verdicts import verdict_saver
from mulberryhub.orders.lease import Lease
from mulberryhub.permits.stock import PermitStock
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.weights.manager import RolloutManager
from mulberryhub.weights.plan import PoolBuilder

# Old weights are no longer selected this long before the end of `version_time`.
VERSION_TIME_MARGIN_MS = 700
LEASE_NAME = "orders"
LEASE_DURATION_MS = 2_000
LEASE_MARGIN_MS = 300  # tolerated clock drift between routers in one duration


def build_router(settings, ports, counters, clock):
    """Return a Router with all its parts, which is not started.

    `counters` must be PrometheusCounters.
    """
    fleet_state = FleetState(clock, settings.name, settings.data_centre)
    parts = RouterParts()
    parts.local_member = Member(
        settings.name,
        settings.peer_address,
        settings.data_centre,
        strength=settings.strength,
    )
    parts.fleet_state = fleet_state
    parts.store = ports.store
    parts.connection_pool = ConnectionPool(clock)
    demand = Demand(clock)
    coordinator_client = build_coordinator_client(parts, clock)
    release_outcomes = build_release_outcomes(fleet_state, counters, clock)
    usage_table, quotas, loads = build_usage(
        parts, settings, demand, release_outcomes, coordinator_client, clock
    )

    _add_followers(parts, settings, ports, fleet_state, usage_table, counters, clock)
    is_coordinator = _coordination_check(parts)
    parts.admission_saver = AdmissionSaver(
        settings.name,
        fleet_state,
        usage_table,
        lambda: known_usage(usage_table).rate_by_workspace,
        quotas.earlier_periods,
        ports.store,
        is_coordinator,
        clock,
    )
    parts.stream_origins = StreamOrigins(
        fleet_state, ports.stream_records, ports.software_marks, is_coordinator, clock
    )
    coordinate = build_coordinator(parts, usage_table, quotas, clock)
    parts.publisher = Publisher(
        settings.peer_address,
        fleet_state,
        usage_table,
        parts.source_selector.is_current,
        parts.source_selector.coordinator,
        coordinate,
        clock,
    )
    stock = PermitStock(coordinator_client.ask, clock)
    rate_limits = UpstreamRateLimits(fleet_state, stock, counters)
    connect_health = UpstreamHealth(clock, counters)
    answer_health = UpstreamHealth(clock, counters)
    availability = UpstreamAvailability(
        settings.name, fleet_state, rate_limits, clock, counters
    )
    quarantine = Quarantine(
        settings.name,
        fleet_state,
        parts.connection_pool.probe_refused,
        verdict_saver(ports.store, clock),
        clock,
        counters,
    )
    locality_parts = build_locality(
        settings, lambda: parts.forwarder.view(), usage_table, clock, counters
    )
    slot_times = SlotTimes()
    room = Room(loads, slot_times, clock)

    def hears_others():
        is_alone = len(fleet_state.members_by_name) <= 1
        return is_alone or usage_table.news_age() <= MAX_PUBLICATION_AGE_MS

    admission = Admission(room, slot_times, hears_others, clock, counters)
    selector = UpstreamSelector(
        fleet_state,
        ExpectedDelay(loads.work, (parts.speeds.adjust_delay, room.adjust)).of,
        locality_parts.transfer_cost,
        connect_health,
        answer_health,
        availability,
        settings.bounds.version_time - VERSION_TIME_MARGIN_MS,
        locality_parts.locality,
        StoredParts(
            lambda *args: cache_directives.holds_parts(*args),
            lambda: fleet_state.cache_index.token_count,
        ),
        processing_cost=parts.speeds.processing_cost,
        rank_homes=parts.speeds.rank_homes,
        spread_cost=room.spread_cost,
    )
    retry_budget = _build_retry_budget(settings, fleet_state, clock)

    def find_cache_scope(workspace):
        return parts.forwarder.view().cache_scope(workspace)

    def find_cache_store():
        view = parts.forwarder.view()
        return None if view is None else view.cache_service(settings.data_centre)

    def find_cache_store_address():
        service = find_cache_store()
        return None if service is None else service.cache_address

    cache_directives = CacheDirectives(
        find_cache_scope, find_cache_store, fleet_state.cache_index, clock
    )
    parts.cache_watcher = CacheWatcher(
        find_cache_store_address,
        ports.read_cache_events,
        ports.read_all_cached_parts,
        fleet_state,
        parts.source_selector.is_leader,
        clock,
    )
    parts.remaining_time = RemainingTime(clock)
    stream_versions = StreamVersions(parts.stream_origins, fleet_state, clock)
    attempt_runner = AttemptRunner(
        ports.dialect,
        selector,
        parts.connection_pool,
        loads,
        connect_health,
        answer_health,
        availability,
        rate_limits,
        quarantine,
        parts.remaining_time,
        stream_versions,
        retry_budget,
        fleet_state,
        cache_directives,
        parts.speeds,
        admission,
        ReleaseFilter(fleet_state),
        release_outcomes,
        clock,
        counters,
        locality_parts.round_trips.record,
    )
    relay = Relay(attempt_runner, ports.dialect.event_header, clock)
    parts.forwarder = Forwarder(
        fleet_state,
        ports.dialect,
        quotas,
        demand,
        retry_budget,
        stream_versions,
        relay,
        clock,
        counters,
    )
    parts.front_server = HttpServer(
        settings.front_address,
        parts.forwarder.handle,
        lambda: request_limits(fleet_state),
        clock,
        BodyMemory(body_memory_capacity(settings.memory_limit)),
    )

    pool_builder = PoolBuilder(
        fleet_state, loads.work, connect_health.is_avoided, parts.demand_estimate.of
    )
    parts.rollout_manager = _build_rollout_manager(
        settings, ports, fleet_state, rate_limits, loads, pool_builder, counters, clock
    )
    parts.release_controller = build_release_controller(
        settings, ports, fleet_state, usage_table, counters, clock
    )
    parts.naming_times_saver = NamingTimesSaver(
        ports.store,
        fleet_state.named_weights,
        parts.source_selector.reader_rank,
    )
    router = Router(settings, parts, clock)
    parts.readiness_server = readiness_server(
        settings.ready_address, ports.readiness_path, router.is_ready, clock
    )
    add_gauges(
        counters, fleet_state, parts.followers, parts.removals, parts.coordinator_share
    )
    add_speed_gauges(counters, parts.speeds)
    parts.metrics_server = None
    if settings.metrics_address:
        parts.metrics_server = metrics_server(
            settings.metrics_address,
            counters,
            release_reader(fleet_state, usage_table),
            clock,
        )
    return router


def _build_retry_budget(settings, fleet_state, clock):
    bounds = settings.bounds
    budget_rule = BudgetRule(
        bounds.retry_window, bounds.retry_ratio, bounds.retry_slack
    )
    return RetryBudget(budget_rule, lambda: len(fleet_state.members_by_name), clock)


def _add_followers(parts, settings, ports, fleet_state, usage_table, counters, clock):
    """Set the parts that follow the store and other routers."""
    removals = parts.removals = DelayedRemovals(fleet_state, clock)

    def subscribe(member, wants_records):
        return Subscription(
            member,
            parts.local_member,
            wants_records,
            fleet_state,
            removals,
            usage_table,
            clock,
        )

    save_verdict = verdict_saver(ports.store, clock)
    is_coordinator = _coordination_check(parts)

    parts.suspect_saver = SuspectSaver(
        settings.name, fleet_state.suspects, ports.store, is_coordinator, clock
    )

    def save_verdicts():
        parts.suspect_saver.save_again()
        if is_coordinator():
            for suspect in fleet_state.suspects.quarantined():
                save_verdict(suspect)

    parts.source_selector = build_source_selector(
        parts, settings.seeds, fleet_state, subscribe, clock
    )
    parts.followers = [
        TopicFollower(
            plan,
            ports.store,
            fleet_state,
            _read_condition(parts.source_selector, removals, plan.topic),
            clock,
            counters,
        )
        for plan in topic_plans(ports, fleet_state, removals, save_verdicts)
    ]


def _coordination_check(parts):
    """Return the function that returns whether this router coordinates the others."""
    return lambda: parts.source_selector.coordinator().name == parts.local_member.name


def _read_condition(source_selector, removals, topic):
    """Return the function that returns whether this router should read `topic`.

    A router that delays removals reads on, as others do not send it the records that
    cancel them: these change nothing for those that did not read the store.
    """
    if topic is Topic.MEMBERS:
        return source_selector.should_read_members
    if topic is Topic.UPSTREAMS:
        return lambda: source_selector.should_read() or removals.delayed_count()
    return source_selector.should_read


def _build_rollout_manager(
    settings, ports, fleet_state, rate_limits, loads, pool_builder, counters, clock
):
    def read_report(upstream):
        spawn_task(rate_limits.charge, upstream)
        return ports.read_report(upstream)

    def send_order(upstream, order):
        spawn_task(rate_limits.charge, upstream)
        return ports.send_order(upstream, order)

    lease = Lease(
        ports.log,
        clock,
        counters,
        LEASE_NAME,
        settings.name,
        LEASE_DURATION_MS,
        LEASE_MARGIN_MS,
    )
    return RolloutManager(
        settings.name,
        fleet_state,
        lease,
        read_report,
        send_order,
        loads,
        pool_builder,
        settings.bounds.lease_time,
        settings.bounds.version_time,
        clock,
        counters,
    )
