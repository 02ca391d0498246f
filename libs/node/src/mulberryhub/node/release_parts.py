"""Builds the parts that release software versions, for the composition root."""

from mulberryhub.forward.release_outcomes import ReleaseOutcomes
from mulberryhub.node.coordination import known_usage
from mulberryhub.orders.lease import Lease
from mulberryhub.releases.controller import ReleaseController
from mulberryhub.releases.decision import ReleaseBounds
from mulberryhub.releases.outcomes import OutcomeRecorder
from mulberryhub.releases.report import report_releases
from mulberryhub.releases.sums import RouterSums
from mulberryhub.releases.takeover import ReleaseTakeover

LEASE_NAME = "releases"
# Routers expose nothing from 1.5 s of silence on, so another decider may follow then.
LEASE_DURATION_MS = 1_500
LEASE_MARGIN_MS = 300  # tolerated clock drift between routers in one duration
MAX_SILENCE_MS = 1_500  # of all other routers; reports come several times as often


def build_release_outcomes(fleet_state, counters, clock):
    """Return the ReleaseOutcomes of this router."""
    return ReleaseOutcomes(OutcomeRecorder(), fleet_state.releases, clock, counters)


def build_release_controller(
    settings, ports, fleet_state, usage_table, counters, clock
):
    """Return the ReleaseController, which is not started."""

    def is_connected():
        if len(fleet_state.members_by_name) <= 1:
            return True
        return usage_table.news_age() <= MAX_SILENCE_MS

    def read_sums():
        usage = known_usage(usage_table)
        has_others = len(fleet_state.members_by_name) > 1
        news_age = usage_table.news_age() if has_others else 0
        return RouterSums(usage.release_counts, usage.routers, news_age)

    lease = Lease(
        ports.log,
        clock,
        counters,
        LEASE_NAME,
        settings.name,
        LEASE_DURATION_MS,
        LEASE_MARGIN_MS,
    )
    bounds = settings.bounds
    return ReleaseController(
        fleet_state,
        lease,
        ReleaseTakeover(settings.name, fleet_state, lease, is_connected, clock),
        ports.release_store,
        read_sums,
        ReleaseBounds(bounds.expose_share, bounds.expose_slack, bounds.rollback_time),
        clock,
        counters,
    )


def release_reader(fleet_state, usage_table):
    """Return the function that returns the ReleaseReports of all services."""
    return lambda: report_releases(
        fleet_state.releases, lambda: known_usage(usage_table).release_counts
    )
