"""Bounds the memory that the request bodies of a process hold together."""

from math import inf

SHORT_BODY_BYTES = 65_536
LONG_SHARE = 0.75  # of the capacity, so that short bodies fit beside long ones


class BodyMemory:
    """Reserves bytes for request bodies, up to `capacity`.

    Bodies of up to SHORT_BODY_BYTES may use all of it, longer ones LONG_SHARE of it.
    """

    __slots__ = ("_capacity", "_used")

    def __init__(self, capacity=inf):
        self._capacity = capacity
        self._used = 0

    @property
    def used(self):
        """Return the number of reserved bytes."""
        return self._used

    def new_reservation(self):
        """Return a BodyReservation of no bytes."""
        return BodyReservation(self)

    def try_add(self, old_size, new_size):
        """Let a body grow from `old_size` to `new_size`; return whether it fits."""
        is_short = new_size <= SHORT_BODY_BYTES
        capacity = self._capacity if is_short else LONG_SHARE * self._capacity
        if self._used - old_size + new_size > capacity:
            return False
        self._used += new_size - old_size
        return True

    def release(self, size):
        """Give back `size` reserved bytes."""
        self._used -= size


class BodyReservation:
    """The bytes that are reserved for the body of one request after the other."""

    __slots__ = ("_memory", "_size")

    def __init__(self, memory):
        self._memory = memory
        self._size = 0

    def try_grow(self, size):
        """Reserve `size` bytes in all, if that is more; return whether they fit."""
        if size <= self._size:
            return True
        if not self._memory.try_add(self._size, size):
            return False
        self._size = size
        return True

    def release(self):
        """Give back all bytes."""
        self._memory.release(self._size)
        self._size = 0
