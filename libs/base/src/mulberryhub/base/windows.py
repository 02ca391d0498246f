"""Sums over a sliding time window."""

from collections import deque

SLOT_MS = 100


class SlidingSum:
    """The sum of the amounts added in the last `length` ms.

    Amounts are grouped into slots of SLOT_MS.
    """

    __slots__ = ("total", "_length", "_slots")

    def __init__(self, length):
        self.total = 0
        self._length = length
        self._slots = deque()

    def add(self, amount, now):
        """Add `amount` at the time `now` (ms)."""
        self.expire(now)
        number = now // SLOT_MS
        if self._slots and self._slots[-1].number == number:
            self._slots[-1].amount += amount
        else:
            self._slots.append(Slot(number, amount))
        self.total += amount

    def total_at(self, now):
        """Return the sum at the time `now` (ms)."""
        self.expire(now)
        return self.total

    def recent(self, duration, now):
        """Return the sum over the last `duration` ms of the window."""
        oldest = (now - duration) // SLOT_MS
        return sum(slot.amount for slot in self._slots if slot.number > oldest)

    def by_slots(self, length, now):
        """Return the sums over slots of `length` ms, newest first.

        Slots begin at multiples of `length`, which must be a multiple of SLOT_MS.
        """
        self.expire(now)
        amounts = [0] * (self._length // length + 1)
        newest = now // length
        for slot in self._slots:
            age = newest - slot.number * SLOT_MS // length
            if age < len(amounts):
                amounts[age] += slot.amount
        return amounts

    def expire(self, now):
        """Drop slots that are older than the window."""
        oldest = (now - self._length) // SLOT_MS - 1
        while self._slots and self._slots[0].number <= oldest:
            self.total -= self._slots.popleft().amount


class Slot:
    """The amount added during one slot; `number` is its start time in slots."""

    __slots__ = ("number", "amount")

    def __init__(self, number, amount):
        self.number = number
        self.amount = amount
