"""Builds the parts that keep rates over all routers, for the composition root."""

from mulberryhub.fleet.channel import PermitRequest, QuotaGrant, QuotaRequest
from mulberryhub.fleet.demand_estimate import DemandEstimate
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.router_counts import RouterCounts
from mulberryhub.fleet.usage import UsageTable
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.quotas import MAX_NEWS_AGE_MS, Quotas
from mulberryhub.forward.speeds import UpstreamSpeeds
from mulberryhub.forward.workspace_usage import QuotaRule
from mulberryhub.permits.allocator import PermitAllocator
from mulberryhub.permits.client import CoordinatorClient
from mulberryhub.permits.share import CoordinatorShare


def build_coordinator_client(parts, clock):
    """Return the CoordinatorClient; it uses parts that are set later."""
    return CoordinatorClient(
        parts.local_member.name,
        lambda: parts.source_selector.coordinator(),
        lambda request: parts.coordinate(request),
        clock,
    )


def build_coordinator(parts, usage_table, quotas, clock):
    """Return the function that answers a CoordinatorRequest, and set its parts."""
    name = parts.local_member.name

    def count_followers():
        return known_usage(usage_table).followers_by_coordinator.get(name, 0)

    def count_routers():
        return len(parts.fleet_state.members_by_name)

    def coordinate(request):
        if isinstance(request, PermitRequest):
            return allocator.grant(request)
        view = parts.forwarder.view()
        workspace = view and view.workspaces_by_name.get(request.workspace)
        lent = quotas.lend(workspace, request.cost) if workspace else None
        return QuotaGrant(request.number, lent)

    parts.coordinator_share = CoordinatorShare(count_followers, count_routers, clock)
    allocator = PermitAllocator(parts.coordinator_share.current, clock)
    parts.coordinate = coordinate
    return coordinate


def build_usage(parts, settings, demand, release_outcomes, coordinator_client, clock):
    """Return the UsageTable, Quotas and Loads, which depend on each other."""
    fleet_state = parts.fleet_state
    name = parts.local_member.name

    def borrow(workspace_name, cost):
        if parts.source_selector.coordinator().name == name:
            return 0 if read_lending_share() else None
        grant = coordinator_client.ask(QuotaRequest(0, workspace_name, cost))
        return None if grant is None else grant.cost

    def read_lending_share():
        """Return the share of the lent part that this router may lend, from 0 to 1.

        Without news of the others, they may have another coordinator by now.
        """
        heard = parts.router_counts.heard()
        if heard > 1 and usage_table.news_age() > MAX_NEWS_AGE_MS:
            return 0
        return min(1, parts.coordinator_share.followers() / heard)

    def measure_usage():
        speed_weights, slowness = parts.speeds.shared_sums()
        return Usage(
            quotas.admitted(),
            quotas.demand_rates(),
            loads.local_work_by_upstream(),
            loads.local_bound_by_upstream(),
            demand.engine_time_rates(),
            max_uptime=quotas.uptime(),
            min_uptime=quotas.uptime(),
            followers_by_coordinator={parts.source_selector.coordinator().name: 1},
            speed_weight_by_incarnation=speed_weights,
            slowness_by_incarnation=slowness,
            requests_by_upstream=loads.local_requests_by_upstream(),
            urgent_by_upstream=loads.local_urgent_by_upstream(),
            release_counts=release_outcomes.counts(),
        )

    bounds = settings.bounds
    usage_table = UsageTable(
        measure_usage, settings.data_centre, bounds.quota_window, clock
    )
    parts.speeds = UpstreamSpeeds(fleet_state, usage_table.others, clock)
    parts.router_counts = RouterCounts(
        usage_table.others, lambda: len(fleet_state.members_by_name), clock
    )
    parts.demand_estimate = DemandEstimate(lambda: known_usage(usage_table), clock)
    quota_rule = QuotaRule(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )
    quotas = Quotas(
        quota_rule,
        usage_table.others,
        usage_table.admitted_by_others,
        usage_table.news_age,
        parts.router_counts.possible,
        borrow,
        read_lending_share,
        clock,
        fleet_state.earlier_admissions,
    )
    loads = Loads(usage_table.others, clock)
    return usage_table, quotas, loads


def known_usage(usage_table):
    """Return the Usage of this router and of those that it hears."""
    usage = usage_table.own()
    others = usage_table.others()
    if others is not None:
        usage.add(others)
    return usage
