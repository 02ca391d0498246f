"""The composition root: wires a router from its settings and a platform's ports."""

from mulberryhub.fleet.beliefs import Beliefs, Topic
from mulberryhub.fleet.follower import TopicFollower
from mulberryhub.fleet.kept_watcher import KeptWatcher
from mulberryhub.fleet.publisher import Publisher
from mulberryhub.fleet.records import Member, Use
from mulberryhub.fleet.removals import Removals
from mulberryhub.fleet.sources import Sources
from mulberryhub.fleet.subscription import Subscription
from mulberryhub.fleet.use import UseTable
from mulberryhub.forward.attempts import Attempts
from mulberryhub.forward.budget import BudgetRule, RetryBudget
from mulberryhub.forward.caching import Caching
from mulberryhub.forward.demand import Demand
from mulberryhub.forward.forwarder import Forwarder
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.placing import Placer
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.quotas import QuotaRule, Quotas
from mulberryhub.forward.relay import Relay
from mulberryhub.forward.withdrawal import Withdrawal
from mulberryhub.http.inbound import Limits
from mulberryhub.http.pool import Pool
from mulberryhub.http.server import HttpServer
from mulberryhub.node.gauges import add_gauges
from mulberryhub.node.metrics import metrics_server
from mulberryhub.node.readiness import readiness_server
from mulberryhub.node.router import Router, RouterParts
from mulberryhub.node.topics import topic_plans
from mulberryhub.node.verdicts import verdict_saver
from mulberryhub.orders.lease import Lease
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.weights.manager import Manager
from mulberryhub.weights.plan import PoolView

VERSION_MARGIN = 700  # ms before the bound at which old weights serve no more
LEASE_NAME = "orders"
LEASE_DURATION = 2_000  # ms
LEASE_MARGIN = 300  # ms
DEFAULT_LIMITS = Limits(
    header_bytes=16_384, body_bytes=4_194_304, header_time=3_000, idle_time=15_000
)


def build(settings, ports, counters, clock):
    """Return a Router that is not started."""
    beliefs = Beliefs(clock)
    parts = RouterParts()
    parts.me = Member(
        settings.name,
        settings.peer_address,
        settings.data_centre,
        strength=settings.strength,
    )
    parts.beliefs = beliefs
    parts.store = ports.store
    parts.pool = Pool(clock)
    demand = Demand(clock)
    use_table, quotas, loads = _build_use(settings, beliefs, demand, clock)

    _add_followers(parts, settings, ports, beliefs, use_table, counters, clock)
    parts.publisher = Publisher(
        settings.peer_address, beliefs, use_table, parts.sources.is_current, clock
    )
    health = UpstreamHealth(clock, counters)
    steadiness = UpstreamHealth(clock, counters)
    withdrawal = Withdrawal(settings.name, beliefs, clock, counters)
    quarantine = Quarantine(
        settings.name,
        beliefs,
        parts.pool.is_refused,
        verdict_saver(ports.store, clock),
        clock,
        counters,
    )
    placer = Placer(
        beliefs,
        loads,
        health,
        steadiness,
        withdrawal,
        settings.data_centre,
        settings.bounds.version_time - VERSION_MARGIN,
    )
    budget = _build_budget(settings, beliefs, clock)

    def find_cache():
        view = parts.forwarder.view()
        return None if view is None else view.cache_service(settings.data_centre)

    def find_cache_address():
        service = find_cache()
        return None if service is None else service.cache_address

    caching = Caching(find_cache, beliefs.kept, clock)
    parts.kept_watcher = KeptWatcher(
        find_cache_address,
        ports.read_kept_events,
        ports.read_all_kept,
        beliefs,
        parts.sources.is_leader,
        clock,
    )
    attempts = Attempts(
        ports.dialect,
        placer,
        parts.pool,
        loads,
        health,
        steadiness,
        withdrawal,
        quarantine,
        budget,
        beliefs,
        caching,
        clock,
        counters,
    )
    relay = Relay(attempts, clock)
    parts.forwarder = Forwarder(
        beliefs, ports.dialect, quotas, demand, budget, relay, clock, counters
    )
    parts.front = HttpServer(
        settings.front_address,
        parts.forwarder.handle,
        lambda: _limits(beliefs),
        clock,
    )

    def demand_for(service):
        total = use_table.own()
        others = use_table.others()
        if others is not None:
            total.add(others)
        return total.demand_by_service.get(service, 0)

    pool_view = PoolView(beliefs, loads.work, health.is_avoided, demand_for)
    parts.manager = _build_manager(
        settings, ports, beliefs, loads, pool_view, counters, clock
    )
    router = Router(settings, parts, clock)
    parts.readiness = readiness_server(
        settings.ready_address, ports.ready_path, router.is_ready, clock
    )
    add_gauges(counters, beliefs, parts.followers, parts.removals)
    parts.metrics = None
    if settings.metrics_address:
        parts.metrics = metrics_server(settings.metrics_address, counters, clock)
    return router


def _build_use(settings, beliefs, demand, clock):
    def measure():
        return Use(
            quotas.windows(),
            quotas.rates(),
            loads.own_work(),
            loads.own_bound(),
            demand.rates(),
            uptime=quotas.uptime(),
            youngest=quotas.uptime(),
        )

    bounds = settings.bounds
    use_table = UseTable(measure, settings.data_centre, bounds.quota_window, clock)
    rule = QuotaRule(bounds.quota_window, bounds.quota_overage, bounds.quota_slack)
    quotas = Quotas(
        rule,
        use_table.others,
        use_table.admitted_by_others,
        lambda: len(beliefs.members_by_name),
        clock,
    )
    loads = Loads(use_table.others, clock)
    return use_table, quotas, loads


def _build_budget(settings, beliefs, clock):
    bounds = settings.bounds
    rule = BudgetRule(bounds.retry_window, bounds.retry_ratio, bounds.retry_slack)
    return RetryBudget(rule, lambda: len(beliefs.members_by_name), clock)


def _add_followers(parts, settings, ports, beliefs, use_table, counters, clock):
    removals = parts.removals = Removals(beliefs, clock)

    def subscribe(member, wants_records):
        return Subscription(
            member, parts.me, wants_records, beliefs, removals, use_table, clock
        )

    def reads_fail():
        return any(item.failing_since is not None for item in parts.followers)

    seeds = [Member(f"seed {address}", address, "") for address in settings.seeds]
    parts.sources = Sources(parts.me, seeds, beliefs, subscribe, reads_fail, clock)
    parts.followers = [
        TopicFollower(
            plan,
            ports.store,
            beliefs,
            _reading_of(parts.sources, plan.topic),
            clock,
            counters,
        )
        for plan in topic_plans(ports, beliefs, removals)
    ]


def _reading_of(sources, topic):
    """Return the function that tells whether this router is to read `topic`."""
    if topic is Topic.MEMBERS:
        return sources.should_read_members
    return sources.should_read


def _build_manager(settings, ports, beliefs, loads, pool_view, counters, clock):
    lease = Lease(
        ports.log,
        clock,
        counters,
        LEASE_NAME,
        settings.name,
        LEASE_DURATION,
        LEASE_MARGIN,
    )
    return Manager(
        settings.name,
        beliefs,
        lease,
        ports.read_report,
        ports.send_order,
        loads,
        pool_view,
        settings.bounds.lease_time,
        settings.bounds.version_time,
        clock,
        counters,
    )


def _limits(beliefs):
    if beliefs.configuration is None:
        return DEFAULT_LIMITS
    limits = beliefs.configuration.limits
    return Limits(
        limits.header_bytes, limits.body_bytes, limits.header_time, limits.idle_time
    )
