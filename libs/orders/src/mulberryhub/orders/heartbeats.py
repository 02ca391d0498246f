"""Heartbeat records in idle claim streams, so that each keeps a record of known age.

Where all records of a stream have expired, a router cannot tell whether one of them
concerned the key at hand, and would have to refuse the first call after an idle
period.
"""

from random import randrange, uniform

from mulberryhub.base.green import sleep
from mulberryhub.external.log import LogUnavailable
from mulberryhub.orders.records import Heartbeat

CHECK_INTERVAL_MS = 10_000  # mean time between checks, each of one partition
IDLE_THRESHOLD_MS = 300_000  # age of the last record at which a heartbeat is due


def append_heartbeat_if_idle(partition, wall_ms, counters):
    """Append a Heartbeat where the last record is older than IDLE_THRESHOLD_MS.

    `wall_ms` is the time since the Unix epoch. A stream that never had a record gets
    none. Raise LogUnavailable.
    """
    last_ms = partition.read_last_time_ms()
    if last_ms is None or wall_ms - last_ms < IDLE_THRESHOLD_MS:
        return
    partition.append(Heartbeat())
    counters.add("orders.marks")


def run_heartbeat_loop(caller, clock, counters):
    """Check random partitions of an AtMostOnceCaller until the process ends."""
    while True:
        sleep(uniform(0.5, 1.5) * CHECK_INTERVAL_MS / 1000)
        index = randrange(caller.partition_count)
        try:
            append_heartbeat_if_idle(caller.partition(index), clock.wall(), counters)
        except LogUnavailable:
            counters.add("retry.mark")
