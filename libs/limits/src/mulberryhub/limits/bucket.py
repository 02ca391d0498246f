"""A token bucket that can lend, with refunds that never raise a past level too far."""

from bisect import bisect_left
from math import inf

MAX_DRIFT = 0.001  # ms per ms by which a clock may run fast or slow
MAX_PEAKS = 256  # peaks


class Peaks:
    """The highest levels of a bucket since marks, which count up in time.

    Levels fall from older to newer entries, since a later and higher one hides
    the earlier.
    """

    __slots__ = ("mark", "_marks", "_levels")

    def __init__(self):
        self.mark = 0
        self._marks = []
        self._levels = []

    def note(self, level):
        """Note the level just before it falls and return the mark after that."""
        while self._levels and self._levels[-1] <= level:
            del self._marks[-1], self._levels[-1]
        self._marks.append(self.mark)
        self._levels.append(level)
        if len(self._marks) > MAX_PEAKS:
            # The older level stands for both, which can only lessen a refund.
            del self._marks[0], self._levels[1]
        self.mark += 1
        return self.mark

    def since(self, mark):
        """Return the highest level noted at or after `mark`."""
        index = bisect_left(self._marks, mark)
        return self._levels[index] if index < len(self._levels) else -inf

    def raise_since(self, mark, amount):
        """Raise the levels noted at or after `mark`."""
        first = bisect_left(self._marks, mark)
        for index in range(first, len(self._levels)):
            self._levels[index] += amount
        hidden = first
        while 0 < hidden < len(self._levels) and (
            self._levels[hidden - 1] <= self._levels[first]
        ):
            hidden -= 1
        if first < len(self._levels):
            del self._marks[hidden:first], self._levels[hidden:first]


class Bucket:
    """Tokens of one holder: a rate per ms, a burst, and room closed by loans.

    `level + closed` never exceeds `burst`, so what is lent and not yet used
    counts against the burst. The bucket starts empty at time `start` in ms.
    """

    __slots__ = ("rate", "burst", "level", "closed", "_updated", "_peaks")

    def __init__(self, start):
        self.rate = 0.0
        self.burst = 0.0
        self.level = 0.0
        self.closed = 0.0
        self._updated = start
        self._peaks = Peaks()

    def resize(self, rate, burst, now):
        """Change rate and burst; refunds of earlier debits are given up."""
        self.refill(now)
        if (rate, burst) == (self.rate, self.burst):
            return
        self._peaks.note(inf)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.closed))

    def fits(self):
        """Tell whether nothing above the burst is held or lent."""
        return self.closed <= self.burst

    def refill(self, now):
        """Add what the rate gives up to `now`."""
        if now <= self._updated:
            return
        # The slowest clock within the bound must not see more than the rate.
        added = self.rate * (now - self._updated) * (1 - MAX_DRIFT)
        self._updated = now
        self.level = max(0.0, min(self.level + added, self.burst - self.closed))

    def take(self, amount, now):
        """Debit `amount`, which must be there, and return the mark of the debit."""
        self.refill(now)
        mark = self._peaks.note(self.level + self.closed)
        self.level -= amount
        return mark

    def lend(self, amount, now):
        """Debit `amount` and close as much room."""
        self.refill(now)
        self.level -= amount
        self.closed += amount

    def reopen(self, amount, now):
        """Open room again once a loan can no longer be used; return the mark."""
        self.refill(now)
        mark = self._peaks.note(self.level + self.closed)
        self.closed -= amount
        return mark

    def refund(self, amount, mark, now):
        """Credit up to `amount` as if it had not been debited at `mark`.

        What would have overflowed since is not credited.
        """
        self.refill(now)
        highest = max(self._peaks.since(mark), self.level + self.closed)
        credited = max(0.0, min(amount, self.burst - highest))
        if credited:
            self.level += credited
            self._peaks.raise_since(mark, credited)
        return credited
