"""Limits on clients' requests, as the configuration sets them."""

from mulberryhub.http.inbound import RequestLimits

# Used until the first configuration is read.
DEFAULT_REQUEST_LIMITS = RequestLimits(
    max_header_bytes=16_384,
    max_body_bytes=4_194_304,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)


def request_limits(fleet_state):
    """Return the RequestLimits in force."""
    if fleet_state.configuration is None:
        return DEFAULT_REQUEST_LIMITS
    limits = fleet_state.configuration.limits
    return RequestLimits(
        limits.header_bytes, limits.body_bytes, limits.header_time, limits.idle_time
    )
