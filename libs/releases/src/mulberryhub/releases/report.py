"""Reports releases with their evidence, for the command that shows them."""

import msgspec

from mulberryhub.releases.outcomes import Outcomes


class VersionReport(msgspec.Struct):
    """The outcomes of a version over all routers, as far as this router knows them."""

    sent: int
    retried: int
    served: int
    failed: int
    lost: int


class ReleaseReport(msgspec.Struct):
    """A release as one router knows it.

    `order` is the target of the operator's order, "" if it was withdrawn. The other
    fields are those of ReleaseState; `state` is "unknown" before a router decides.
    `state_age` is the ms since the state was received. `outcomes` are empty unless the
    release is running.
    """

    service: str
    order: str
    target: str
    state: str
    share: float = 0
    upstreams: int = 0
    age: int = 0
    duration: int = 0
    state_age: int | None = None
    is_status_written: bool = False
    reason: str = ""
    excluded_versions: list[str | None] = []
    outcomes: dict[str, VersionReport] = {}


def report_releases(releases, read_counts):
    """Return the ReleaseReports of all services that have an order or a state."""
    services = releases.orders_by_service.keys() | {
        state.service for state in releases.states()
    }
    if not services:
        return []
    counts = read_counts()
    return [_report(releases, service, counts) for service in sorted(services)]


def _report(releases, service, counts):
    order = releases.orders_by_service.get(service)
    target = "" if order is None else order.target
    state = releases.state(service)
    if state is None:
        return ReleaseReport(service, target, target, "unknown")
    outcomes = Outcomes.from_counts(counts, service, state.target, state.release)
    report = ReleaseReport(
        service,
        target,
        state.target,
        state.state,
        state.share,
        state.upstreams,
        state.age,
        state.duration,
        releases.state_age(service),
        state.written_era >= 0,
        state.reason,
        state.excluded_versions,
    )
    if state.is_running:
        report.outcomes = {
            "target": _sum(outcomes.target_by_group.values()),
            "others": _sum(outcomes.old_by_group.values()),
        }
    return report


def _sum(tallies):
    return VersionReport(
        *(
            sum(getattr(tally, name) for tally in tallies)
            for name in VersionReport.__struct_fields__
        )
    )
