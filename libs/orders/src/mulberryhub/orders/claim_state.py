"""Resolves the records of a key to the claim in force and its result.

The first valid claim wins, and no later claim replaces it unless it is released.
Whether a claim is valid depends only on records at lower offsets, so all routers
reach the same decision whenever they read.
"""

from mulberryhub.orders.idempotency import NO_CREATION_TIME
from mulberryhub.orders.records import Claim, Release, Result

MAX_CLOCK_LEAD_MS = 30_000  # by which a caller's clock may be ahead of the log's
MAX_LOG_TIME_REGRESSION_MS = 5_000  # by which a later record's time may be lower
KEY_VALIDITY_MS = 3_600_000  # for which a key may be claimed after its creation


class Entry:
    """A record with its offset and the log's wall time in ms."""

    __slots__ = ("offset", "time_ms", "record")

    def __init__(self, offset, time_ms, record):
        self.offset = offset
        self.time_ms = time_ms
        self.record = record


class ClaimState:
    """The claim in force for a key and its result, each an Entry or None."""

    __slots__ = ("claim", "result")

    def __init__(self, claim=None, result=None):
        self.claim = claim
        self.result = result

    def is_held_by(self, nonce):
        """Return whether the claim in force has this nonce."""
        return self.claim is not None and self.claim.record.nonce == nonce


def history_start_ms(key_creation_ms):
    """Return the lowest log time of records that may concern a key.

    Return None for a key without a creation time: its validity is counted back from
    the newest record.
    """
    if key_creation_ms == NO_CREATION_TIME:
        return None
    return key_creation_ms - MAX_CLOCK_LEAD_MS - MAX_LOG_TIME_REGRESSION_MS


def is_premature(entry):
    """Return whether the log took the claim before its key's creation time.

    MAX_CLOCK_LEAD_MS is tolerated.
    """
    created_ms = entry.record.key_time
    return (
        created_ms != NO_CREATION_TIME
        and entry.time_ms < created_ms - MAX_CLOCK_LEAD_MS
    )


def is_expired(entry):
    """Return whether the log took the claim after its key had expired."""
    created_ms = entry.record.key_time
    return (
        created_ms != NO_CREATION_TIME and entry.time_ms > created_ms + KEY_VALIDITY_MS
    )


def resolve_claims(entries):
    """Return the ClaimState after the entries of one key, given in offset order."""
    state = ClaimState()
    released_nonces = set()
    for entry in entries:
        record = entry.record
        if isinstance(record, Claim):
            if _wins(state, entry, released_nonces):
                state.claim = entry
        elif isinstance(record, Release):
            released_nonces.add(record.nonce)
            if state.is_held_by(record.nonce) and state.result is None:
                state.claim = None
        elif isinstance(record, Result) and state.is_held_by(record.nonce):
            state.result = state.result or entry
    return state


def _wins(state, entry, released_nonces):
    return (
        state.claim is None
        and entry.record.nonce not in released_nonces
        and not is_premature(entry)
        and not is_expired(entry)
    )
