"""A token bucket that can lend tokens and take refunds.

A refund never raises the level at any past moment above the burst.
"""

from bisect import bisect_left
from math import inf

MAX_CLOCK_DRIFT_RATIO = 0.001  # by which a clock may run fast or slow
MAX_PEAK_COUNT = 256


class PeakLevels:
    """The highest levels of a bucket since earlier debits.

    Each recorded level has a sequence number. Levels decrease from older to newer
    entries, because a later level replaces earlier ones that are not higher.
    """

    __slots__ = ("next_sequence", "_sequences", "_levels")

    def __init__(self):
        self.next_sequence = 0
        self._sequences = []
        self._levels = []

    def record(self, level):
        """Record the level before a decrease; return the next sequence number."""
        while self._levels and self._levels[-1] <= level:
            del self._sequences[-1], self._levels[-1]
        self._sequences.append(self.next_sequence)
        self._levels.append(level)
        if len(self._sequences) > MAX_PEAK_COUNT:
            # The older, higher level replaces the newer; refunds can only get smaller.
            del self._sequences[0], self._levels[1]
        self.next_sequence += 1
        return self.next_sequence

    def highest_since(self, sequence):
        """Return the highest level recorded at `sequence` or later."""
        index = bisect_left(self._sequences, sequence)
        return self._levels[index] if index < len(self._levels) else -inf

    def raise_since(self, sequence, amount):
        """Raise the levels recorded at `sequence` or later by `amount`."""
        first = bisect_left(self._sequences, sequence)
        for index in range(first, len(self._levels)):
            self._levels[index] += amount
        start = first
        while 0 < start < len(self._levels) and (
            self._levels[start - 1] <= self._levels[first]
        ):
            start -= 1
        if first < len(self._levels):
            del self._sequences[start:first], self._levels[start:first]


class Bucket:
    """A token bucket with `rate` in tokens per ms and `burst` in tokens.

    `lent` is the sum of the loans that may still be used. It counts against the
    burst: `level + lent` does not exceed `burst`, except that `lent` alone may after
    a decrease of the burst. The bucket starts empty at time `start` in ms.
    """

    __slots__ = ("rate", "burst", "level", "lent", "_updated", "_peaks")

    def __init__(self, start):
        self.rate = 0.0
        self.burst = 0.0
        self.level = 0.0
        self.lent = 0.0
        self._updated = start
        self._peaks = PeakLevels()

    def resize(self, rate, burst, now):
        """Change rate and burst; if they differ, earlier debits get no refund."""
        self.refill(now)
        if (rate, burst) == (self.rate, self.burst):
            return
        self._peaks.record(inf)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.lent))

    def is_within_burst(self):
        """Return whether the level and the loans together are within the burst."""
        return self.lent <= self.burst

    def refill(self, now):
        """Add the tokens that the rate yields until `now`."""
        if now <= self._updated:
            return
        # Reduced for drift: a clock that runs fast by the allowed ratio must not add
        # more than the rate.
        added = self.rate * (now - self._updated) * (1 - MAX_CLOCK_DRIFT_RATIO)
        self._updated = now
        self.level = max(0.0, min(self.level + added, self.burst - self.lent))

    def take(self, amount, now):
        """Debit `amount`, which must be available, and return its sequence number."""
        self.refill(now)
        sequence = self._peaks.record(self.level + self.lent)
        self.level -= amount
        return sequence

    def lend(self, amount, now):
        """Debit `amount` and count it as lent."""
        self.refill(now)
        self.level -= amount
        self.lent += amount

    def end_loan(self, amount, now):
        """Stop counting `amount` as lent, once the loan can no longer be used.

        Return a sequence number for refunds of the loan.
        """
        self.refill(now)
        sequence = self._peaks.record(self.level + self.lent)
        self.lent -= amount
        return sequence

    def refund(self, amount, sequence, now):
        """Credit up to `amount` as if it had not been debited at `sequence`.

        Tokens that would have overflowed the bucket since then are not credited.
        Return the number of tokens credited.
        """
        self.refill(now)
        highest = max(self._peaks.highest_since(sequence), self.level + self.lent)
        credited = max(0.0, min(amount, self.burst - highest))
        if credited:
            self.level += credited
            self._peaks.raise_since(sequence, credited)
        return credited
