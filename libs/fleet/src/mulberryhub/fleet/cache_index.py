"""An index of the prompt parts in the KV cache store, built from its events."""

from collections import OrderedDict

from mulberryhub.fleet.records import CachedPart

MAX_PART_COUNT = 20_000  # parts in the index
REACHABLE_TIMEOUT_MS = 3_000  # since the last known answer of the store


class CacheIndex:
    """Cached prompt parts by salt and id, in the order of the store's events.

    `epoch` identifies a start of the store; a new start clears the index. Epochs have
    no order, so starts are ordered by when a router first read of them, and those of
    which that is unknown by their epochs. The wall clock of a router may be wrong, so
    an earlier start may count until the present one is read of again. `clear_count` is
    how often the index was cleared, `token_count` the length of all parts in it.
    """

    __slots__ = (
        "epoch",
        "clear_count",
        "token_count",
        "_seen_at",
        "_clock",
        "_parts_by_key",
        "_as_of",
    )

    def __init__(self, clock):
        self.epoch = None
        self.clear_count = 0
        self.token_count = 0
        self._seen_at = 0
        self._clock = clock
        self._parts_by_key = OrderedDict()
        self._as_of = None

    def apply(self, part):
        """Apply a CachedPart; return whether it is new."""
        self.record_start(0, part.epoch)
        if part.epoch != self.epoch:
            return False
        key = (part.salt, part.id)
        known = self._parts_by_key.get(key)
        if known is not None and known.number >= part.number:
            return False
        self.token_count += part.tokens - (0 if known is None else known.tokens)
        self._parts_by_key[key] = part
        self._parts_by_key.move_to_end(key)
        if len(self._parts_by_key) > MAX_PART_COUNT:
            _, dropped = self._parts_by_key.popitem(last=False)
            self.token_count -= dropped.tokens
        return True

    def start_of(self, records):
        """Return the arguments of `record_start`, or None if `records` have no part."""
        has_parts = any(isinstance(record, CachedPart) for record in records)
        return (self._seen_at, self.epoch) if has_parts else None

    def record_start(self, seen_at, epoch):
        """Record that a router read of the start `epoch` at `seen_at` (Unix ms).

        A later start than the present one clears the index. 0 is an unknown time.
        """
        if self.epoch is not None and (seen_at, epoch) <= (self._seen_at, self.epoch):
            return
        if epoch != self.epoch:
            self._parts_by_key.clear()
            self.token_count = 0
            self.clear_count += 1
        self._seen_at, self.epoch = seen_at, epoch

    def restart(self, epoch):
        """Record that this router read that the store's present start is `epoch`.

        The clocks of other routers may be ahead.
        """
        if epoch != self.epoch or not self._seen_at:
            self.record_start(max(self._clock.wall(), self._seen_at + 1), epoch)

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
