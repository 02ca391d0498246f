"""An index of the prompt parts in the KV cache store, built from its events."""

from collections import OrderedDict

MAX_PART_COUNT = 20_000  # parts in the index
REACHABLE_TIMEOUT_MS = 3_000  # since the last known answer of the store


class CacheIndex:
    """Cached prompt parts by salt and id, in the order of the store's events.

    `epoch` identifies a start of the store; a new epoch clears the index.
    """

    __slots__ = ("epoch", "_clock", "_parts_by_key", "_as_of")

    def __init__(self, clock):
        self.epoch = None
        self._clock = clock
        self._parts_by_key = OrderedDict()
        self._as_of = None

    def apply(self, part):
        """Apply a CachedPart; return whether it is new."""
        if self.epoch is None or part.epoch != self.epoch:
            self._parts_by_key.clear()
            self.epoch = part.epoch
        key = (part.salt, part.id)
        known = self._parts_by_key.get(key)
        if known is not None and known.number >= part.number:
            return False
        self._parts_by_key[key] = part
        self._parts_by_key.move_to_end(key)
        if len(self._parts_by_key) > MAX_PART_COUNT:
            self._parts_by_key.popitem(last=False)
        return True

    def restart(self, epoch):
        """Clear the index if `epoch` is a new start of the store."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._parts_by_key.clear()

    def mark_current(self, as_of):
        """Record that the index was current at `as_of` ms."""
        if self._as_of is None or as_of > self._as_of:
            self._as_of = as_of

    def age(self):
        """Return the ms since the index was current, or None if it never was."""
        return None if self._as_of is None else self._clock.now() - self._as_of

    def is_reachable(self):
        """Return whether the index was current recently."""
        age = self.age()
        return age is not None and age <= REACHABLE_TIMEOUT_MS

    def holds(self, salt, id):
        """Return whether the store holds a part under `salt`."""
        part = self._parts_by_key.get((salt, id))
        return part is not None and part.tokens > 0
