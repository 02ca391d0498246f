"""Withdrawn keys that the log may not hold yet: a set that only grows until kept."""

from random import uniform

from mulberryhub.base.digest import placement_score

OWN_APPEND = 2_500  # ms
FIRST_APPEND = 5_000  # ms
LAST_APPEND = 15_000  # ms
REPEAT_APPEND = 5_000  # ms


class PendingWithdrawals:
    """WithdrawKey records by hash, each with the time of its next append.

    The router that was asked appends a record itself, and again when it is still
    missing from the log after OWN_APPEND; the others do so some seconds later.
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
        """Add `records` and return those that are new."""
        new = [item for item in records if item.hash not in self.records_by_hash]
        for record in new:
            delay = OWN_APPEND if is_own else uniform(FIRST_APPEND, LAST_APPEND)
            self.records_by_hash[record.hash] = record
            self._due_by_hash[record.hash] = now + delay
        return new

    def remove(self, kept):
        """Drop the records whose hashes are in `kept`, the log's own set."""
        for digest in [item for item in self.records_by_hash if item in kept]:
            del self.records_by_hash[digest]
            del self._due_by_hash[digest]

    def take_due(self, now):
        """Return the records to append now, and put off their next append."""
        due = [digest for digest, time in self._due_by_hash.items() if time <= now]
        for digest in due:
            self._due_by_hash[digest] = now + REPEAT_APPEND
        return [self.records_by_hash[digest] for digest in due]

    def digest(self):
        """Return a number that is equal on routers with equal sets."""
        total = 0
        for item in self.records_by_hash:
            total ^= placement_score(b"withdrawal", item.encode())
        # Kept within the signed range of the codec.
        return total >> 1
