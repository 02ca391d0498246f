"""Limits on clients' requests, as the configuration and the memory limit set them."""

from math import inf

from mulberryhub.http.limits import RequestLimits

# Used until the first configuration is read.
DEFAULT_REQUEST_LIMITS = RequestLimits(
    max_header_bytes=16_384,
    max_body_bytes=4_194_304,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)
# What a router needs beside the bodies of requests: its program, its view of the fleet,
# buffered answers and the bytes that sockets hold.
PROCESS_MEMORY_BYTES = 80_000_000
MIN_BODY_MEMORY_BYTES = 8_000_000
# The allocator keeps freed memory, and a body is copied once when it is complete.
BODY_MEMORY_SHARE = 0.5  # of what the process leaves


def body_memory_capacity(memory_limit):
    """Return the bytes that all request bodies may hold in a process.

    `memory_limit` is that of the process in bytes, 0 if it has none.
    """
    if not memory_limit:
        return inf
    free = memory_limit - PROCESS_MEMORY_BYTES
    return max(MIN_BODY_MEMORY_BYTES, int(free * BODY_MEMORY_SHARE))


def request_limits(fleet_state):
    """Return the RequestLimits in force."""
    if fleet_state.configuration is None:
        return DEFAULT_REQUEST_LIMITS
    limits = fleet_state.configuration.limits
    return RequestLimits(
        limits.header_bytes, limits.body_bytes, limits.header_time, limits.idle_time
    )
