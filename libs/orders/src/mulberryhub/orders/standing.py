"""What the records of a key say: the first valid claim wins, and none takes over.

The rule depends only on records at lower offsets, so that all routers come to
the same result whenever they read.
"""

from mulberryhub.orders.idempotency import NO_TIME
from mulberryhub.orders.records import Claim, Release, Result

MAX_CLOCK_LEAD = 30_000  # ms that a caller's clock may be ahead of the log's
MAX_LOG_STEP = 5_000  # ms that times of records may go back from one to a later one
KEY_WINDOW = 3_600_000  # ms after a key's creation in which it may be claimed


class Entry:
    """One record with its offset and the log's wall time in ms."""

    __slots__ = ("offset", "time", "record")

    def __init__(self, offset, time, record):
        self.offset = offset
        self.time = time
        self.record = record


class Standing:
    """The claim in force for a key and its result, as entries or None."""

    __slots__ = ("claim", "result")

    def __init__(self, claim=None, result=None):
        self.claim = claim
        self.result = result

    def held_by(self, nonce):
        """Return whether the claim in force has this nonce."""
        return self.claim is not None and self.claim.record.nonce == nonce


def history_start(key_time):
    """Return the log time from which records may concern a key of this time.

    Return None for a key without a time: its window ends with the newest record.
    """
    if key_time == NO_TIME:
        return None
    return key_time - MAX_CLOCK_LEAD - MAX_LOG_STEP


def is_early(entry):
    """Return whether the claim came before its key's time, by the log's clock."""
    created = entry.record.key_time
    return created != NO_TIME and entry.time < created - MAX_CLOCK_LEAD


def is_late(entry):
    """Return whether the claim came after the window of its key."""
    created = entry.record.key_time
    return created != NO_TIME and entry.time > created + KEY_WINDOW


def standing_of(entries):
    """Return the Standing after the entries of one key, given in offset order."""
    standing = Standing()
    released = set()
    for entry in entries:
        record = entry.record
        if isinstance(record, Claim):
            if _takes(standing, entry, released):
                standing.claim = entry
        elif isinstance(record, Release):
            released.add(record.nonce)
            if standing.held_by(record.nonce) and standing.result is None:
                standing.claim = None
        elif isinstance(record, Result) and standing.held_by(record.nonce):
            standing.result = standing.result or entry
    return standing


def _takes(standing, entry, released):
    return (
        standing.claim is None
        and entry.record.nonce not in released
        and not is_early(entry)
        and not is_late(entry)
    )
