"""Decides whether an answer would begin too late to be useful to the client.

While upstreams are overloaded, a request whose client gives up before the first event
only delays other requests. Requests below the highest priority are refused earlier, as
soon as they would miss their latency target. Other requests are then answered in time,
and clients that retry find shorter queues.
"""

MIN_EVENT_TIMEOUT_MS = 2_000  # for which clients wait for an event
EVENT_TIMEOUT_TARGETS = 4  # latency targets for which they wait
EVENT_TIMEOUT_GAPS = 8  # target gaps between events for which they wait
MAX_URGENT_DELAY_SHARE = 0.7  # of the event timeout, for priority 0
MAX_OTHER_DELAY_TARGETS = 1.3  # latency targets, for lower priorities


def event_timeout(route):
    """Return the time in ms for which clients of `route` wait for an event."""
    gap = route.target_gap * EVENT_TIMEOUT_GAPS
    return max(MIN_EVENT_TIMEOUT_MS, route.target_latency * EVENT_TIMEOUT_TARGETS, gap)


def is_too_late(job, delay):
    """Return whether an answer that begins in `delay` ms would be too late.

    Requests that are not streams, or whose answer has begun, are never too late.
    """
    if not job.is_stream or job.is_answer_started:
        return False
    return delay > max_delay(job)


def max_delay(job):
    """Return the longest delay in ms at which `job` is sent."""
    timeout = event_timeout(job.route)
    if job.priority:
        return min(MAX_OTHER_DELAY_TARGETS * job.route.target_latency, timeout)
    return MAX_URGENT_DELAY_SHARE * timeout
