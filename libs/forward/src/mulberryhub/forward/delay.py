"""Whether an answer would come too late to be of use to its client.

Answers the load in which upstreams have more to read than they can: a request whose
client would leave before the first event only takes time from the others. Urgent
requests are admitted first by upstreams, so they are refused last.
"""

LEAST_PATIENCE = 2_000  # ms for which clients wait for an event at least
TARGETS = 4  # latency targets for which they wait
GAPS = 8  # longest pauses between events for which they wait
USABLE_SHARE = 0.7  # of the patience up to which a request is sent
PRIORITY_SHARE = 0.15  # by which each step of priority lowers that
LEAST_SHARE = 0.3


def stream_patience(route):
    """Return the ms for which clients of a streaming route wait for an event."""
    gap = route.target_gap * GAPS
    return max(LEAST_PATIENCE, route.target_latency * TARGETS, gap)


def is_too_late(job, delay):
    """Tell whether an answer with `delay` ms until its start is of no use."""
    if not job.is_stream or job.is_started:
        return False
    share = max(LEAST_SHARE, USABLE_SHARE - PRIORITY_SHARE * job.priority)
    return delay > share * stream_patience(job.route)
