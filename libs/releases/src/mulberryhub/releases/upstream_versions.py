"""The software versions of the upstreams of a service."""

from mulberryhub.fleet.records import UpstreamState


def ready_versions(fleet_state, service):
    """Return the version of each ready upstream of `service`."""
    return [
        upstream.software_version
        for upstream in fleet_state.upstreams_by_id.values()
        if upstream.service == service
        and upstream.state is UpstreamState.READY
        and not fleet_state.is_shutting_down(upstream)
    ]


def other_versions(fleet_state, service, target):
    """Return the versions of the upstreams of `service` beside the target."""
    return {
        upstream.software_version
        for upstream in fleet_state.upstreams_by_id.values()
        if upstream.service == service and upstream.software_version != target
    }
