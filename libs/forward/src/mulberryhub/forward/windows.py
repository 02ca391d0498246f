"""Sums over a sliding window of time."""

from collections import deque

SLOT = 100  # ms


class SlidingSum:
    """The sum of what was added in the last `length` ms, in slots of SLOT ms."""

    __slots__ = ("total", "_length", "_slots")

    def __init__(self, length):
        self.total = 0
        self._length = length
        self._slots = deque()

    def add(self, amount, now):
        """Add `amount` at `now` ms."""
        self.expire(now)
        number = now // SLOT
        if self._slots and self._slots[-1].number == number:
            self._slots[-1].amount += amount
        else:
            self._slots.append(Slot(number, amount))
        self.total += amount

    def at(self, now):
        """Return the sum at `now` ms."""
        self.expire(now)
        return self.total

    def recent(self, duration, now):
        """Return the sum over the last `duration` ms of the window."""
        oldest = (now - duration) // SLOT
        return sum(slot.amount for slot in self._slots if slot.number > oldest)

    def by_slots(self, length, now):
        """Return the sums of slots of `length` ms, the newest first.

        Slots begin at multiples of `length`, which is one of SLOT.
        """
        self.expire(now)
        amounts = [0] * (self._length // length + 1)
        newest = now // length
        for slot in self._slots:
            age = newest - slot.number * SLOT // length
            if age < len(amounts):
                amounts[age] += slot.amount
        return amounts

    def expire(self, now):
        """Drop what is older than the window."""
        oldest = (now - self._length) // SLOT - 1
        while self._slots and self._slots[0].number <= oldest:
            self.total -= self._slots.popleft().amount


class Slot:
    """What was added in one slot of time."""

    __slots__ = ("number", "amount")

    def __init__(self, number, amount):
        self.number = number
        self.amount = amount
