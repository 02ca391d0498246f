"""Marks in quiet claim streams, so that each keeps a record of known age.

Without one, a router could not tell whether an expired record concerned a new
key, and would have to refuse the first call after a quiet time.
"""

from random import randrange, uniform

from mulberryhub.base.green import sleep
from mulberryhub.external.log import LogUnavailable
from mulberryhub.orders.records import Mark

CHECK_PAUSE = 10_000  # ms between checks of one partition each
QUIET_TIME = 300_000  # ms without a record before a mark is due


def mark_if_quiet(partition, wall, counters):
    """Append a Mark where the last record is older than QUIET_TIME.

    `wall` is the time since the Unix epoch in ms. Raise LogUnavailable.
    """
    last = partition.last_time()
    if last is None or wall - last < QUIET_TIME:
        return
    partition.append(Mark())
    counters.add("orders.marks")


def keep_marked(once, clock, counters):
    """Check partitions of `once` at random for as long as the process runs."""
    while True:
        sleep(uniform(0.5, 1.5) * CHECK_PAUSE / 1000)
        index = randrange(once.partitions)
        try:
            mark_if_quiet(once.partition(index), clock.wall(), counters)
        except LogUnavailable:
            counters.add("retry.mark")
