"""Whether an answer would come too late to be of use to its client.

Answers the load in which upstreams have more to read than they can: a request whose
client would leave before the first event only takes time from the others. Requests that
are not of the first rank are refused earlier, as soon as they would come late: then the
others are still in time, and those that come back find less to wait for.
"""

LEAST_PATIENCE = 2_000  # ms for which clients wait for an event at least
TARGETS = 4  # latency targets for which they wait
GAPS = 8  # longest pauses between events for which they wait
USABLE_SHARE = 0.7  # of the patience up to which the most urgent requests are sent
USABLE_TARGETS = 1.3  # latency targets up to which others are sent


def stream_patience(route):
    """Return the ms for which clients of a streaming route wait for an event."""
    gap = route.target_gap * GAPS
    return max(LEAST_PATIENCE, route.target_latency * TARGETS, gap)


def is_too_late(job, delay):
    """Tell whether an answer with `delay` ms until its start is of no use."""
    if not job.is_stream or job.is_started:
        return False
    patience = stream_patience(job.route)
    if job.priority:
        return delay > min(USABLE_TARGETS * job.route.target_latency, patience)
    return delay > USABLE_SHARE * patience
