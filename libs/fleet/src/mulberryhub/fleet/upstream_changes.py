"""Compares and logs the records that upstreams write about themselves."""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import UpstreamState

log = module_logger(__name__)


def is_relevant_change(known, upstream):
    """Return whether request handling depends on the change between two records."""
    return (
        known.state is not upstream.state
        or known.address != upstream.address
        or known.service != upstream.service
        or known.started != upstream.started
        or known.versions_by_model != upstream.versions_by_model
        or known.software_version != upstream.software_version
    )


def log_upstream(upstream):
    """Log the record of an upstream that is new or that changed."""
    state = "leaving" if upstream.state is UpstreamState.DRAINING else "ready"
    log.info(
        "upstream known",
        upstream=upstream.id,
        state=state,
        offset=upstream.offset,
        versions=upstream.versions_by_model,
        software_version=upstream.software_version,
    )
