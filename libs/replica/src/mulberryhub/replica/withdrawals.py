"""Withdrawn keys whose withdrawal the log may not hold yet."""

from random import uniform

from mulberryhub.base.digest import rendezvous_score

OWN_APPEND_DELAY_MS = 2_500
MIN_PEER_APPEND_DELAY_MS = 5_000
MAX_PEER_APPEND_DELAY_MS = 15_000
APPEND_RETRY_INTERVAL_MS = 5_000


class PendingWithdrawals:
    """WithdrawKey records by key hash, each with the time of its next append.

    A record is removed only when the log holds it. The router that received the
    withdrawal appends it directly, and again after OWN_APPEND_DELAY_MS if it has not
    been read back. Other routers append it after a longer random delay, so that it
    reaches the log even if the first router fails.
    """

    __slots__ = ("records_by_hash", "_due_by_hash")

    def __init__(self):
        self.records_by_hash = {}
        self._due_by_hash = {}

    def __len__(self):
        return len(self.records_by_hash)

    @property
    def hashes(self):
        """Return the hashes of the pending withdrawals."""
        return frozenset(self.records_by_hash)

    def add(self, records, now, is_own=False):
        """Add `records` and return those that are new.

        `is_own` tells whether this router received the withdrawal from an operator.
        """
        new = [item for item in records if item.key_hash not in self.records_by_hash]
        for record in new:
            delay = (
                OWN_APPEND_DELAY_MS
                if is_own
                else uniform(MIN_PEER_APPEND_DELAY_MS, MAX_PEER_APPEND_DELAY_MS)
            )
            self.records_by_hash[record.key_hash] = record
            self._due_by_hash[record.key_hash] = now + delay
        return new

    def remove(self, logged_hashes):
        """Remove the records whose key hashes are in `logged_hashes`."""
        for key_hash in [
            item for item in self.records_by_hash if item in logged_hashes
        ]:
            del self.records_by_hash[key_hash]
            del self._due_by_hash[key_hash]

    def take_due(self, now):
        """Return the records to append now, and schedule their next append."""
        due = [key_hash for key_hash, time in self._due_by_hash.items() if time <= now]
        for key_hash in due:
            self._due_by_hash[key_hash] = now + APPEND_RETRY_INTERVAL_MS
        return [self.records_by_hash[key_hash] for key_hash in due]

    def digest(self):
        """Return a number that is equal on routers with equal sets of hashes."""
        total = 0
        for key_hash in self.records_by_hash:
            total ^= rendezvous_score(b"withdrawal", key_hash.encode())
        # The message codec encodes signed 64-bit integers; the score is unsigned.
        return total >> 1
