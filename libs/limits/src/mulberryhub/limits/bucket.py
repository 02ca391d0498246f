"""A token bucket that can lend, with refunds that never raise a past level too far."""

from bisect import bisect_left
from math import inf

MAX_CLOCK_DRIFT_RATIO = 0.001  # ms per ms by which a clock may run fast or slow
MAX_PEAK_COUNT = 256  # peaks


class PeakLevels:
    """The highest levels of a bucket since marks, which count up in time.

    Levels fall from older to newer entries, since a later and higher one hides
    the earlier.
    """

    __slots__ = ("next_sequence", "_sequences", "_levels")

    def __init__(self):
        self.next_sequence = 0
        self._sequences = []
        self._levels = []

    def record(self, level):
        """Note the level just before it falls and return the mark after that."""
        while self._levels and self._levels[-1] <= level:
            del self._sequences[-1], self._levels[-1]
        self._sequences.append(self.next_sequence)
        self._levels.append(level)
        if len(self._sequences) > MAX_PEAK_COUNT:
            # The older level stands for both, which can only lessen a refund.
            del self._sequences[0], self._levels[1]
        self.next_sequence += 1
        return self.next_sequence

    def highest_since(self, sequence):
        """Return the highest level noted at or after `mark`."""
        index = bisect_left(self._sequences, sequence)
        return self._levels[index] if index < len(self._levels) else -inf

    def raise_since(self, sequence, amount):
        """Raise the levels noted at or after `mark`."""
        first = bisect_left(self._sequences, sequence)
        for index in range(first, len(self._levels)):
            self._levels[index] += amount
        hidden = first
        while 0 < hidden < len(self._levels) and (
            self._levels[hidden - 1] <= self._levels[first]
        ):
            hidden -= 1
        if first < len(self._levels):
            del self._sequences[hidden:first], self._levels[hidden:first]


class Bucket:
    """Tokens of one holder: a rate per ms, a burst, and room closed by loans.

    `level + closed` never exceeds `burst`, so what is lent and not yet used
    counts against the burst. The bucket starts empty at time `start` in ms.
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
        """Change rate and burst; refunds of earlier debits are given up."""
        self.refill(now)
        if (rate, burst) == (self.rate, self.burst):
            return
        self._peaks.record(inf)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.lent))

    def is_within_burst(self):
        """Tell whether nothing above the burst is held or lent."""
        return self.lent <= self.burst

    def refill(self, now):
        """Add what the rate gives up to `now`."""
        if now <= self._updated:
            return
        # The slowest clock within the bound must not see more than the rate.
        added = self.rate * (now - self._updated) * (1 - MAX_CLOCK_DRIFT_RATIO)
        self._updated = now
        self.level = max(0.0, min(self.level + added, self.burst - self.lent))

    def take(self, amount, now):
        """Debit `amount`, which must be there, and return the mark of the debit."""
        self.refill(now)
        sequence = self._peaks.record(self.level + self.lent)
        self.level -= amount
        return sequence

    def lend(self, amount, now):
        """Debit `amount` and close as much room."""
        self.refill(now)
        self.level -= amount
        self.lent += amount

    def end_loan(self, amount, now):
        """Open room again once a loan can no longer be used; return the mark."""
        self.refill(now)
        sequence = self._peaks.record(self.level + self.lent)
        self.lent -= amount
        return sequence

    def refund(self, amount, sequence, now):
        """Credit up to `amount` as if it had not been debited at `mark`.

        What would have overflowed since is not credited.
        """
        self.refill(now)
        highest = max(self._peaks.highest_since(sequence), self.level + self.lent)
        credited = max(0.0, min(amount, self.burst - highest))
        if credited:
            self.level += credited
            self._peaks.raise_since(sequence, credited)
        return credited
