"""Which parts of prompts a store of kept KV cache holds, as its events tell."""

from collections import OrderedDict

MOST_PARTS = 20_000  # parts that are remembered
FRESH = 3_000  # ms for which the store counts as reachable after it was heard


class KeptParts:
    """Parts by salt and id, in the order of the store's events.

    `epoch` is that of the store's start; a new one forgets all parts before it.
    """

    __slots__ = ("epoch", "_clock", "_parts_by_key", "_as_of")

    def __init__(self, clock):
        self.epoch = None
        self._clock = clock
        self._parts_by_key = OrderedDict()
        self._as_of = None

    def learn(self, part):
        """Take a KeptPart; return whether it says something new."""
        if self.epoch is None or part.epoch != self.epoch:
            self._parts_by_key.clear()
            self.epoch = part.epoch
        key = (part.salt, part.id)
        known = self._parts_by_key.get(key)
        if known is not None and known.number >= part.number:
            return False
        self._parts_by_key[key] = part
        self._parts_by_key.move_to_end(key)
        if len(self._parts_by_key) > MOST_PARTS:
            self._parts_by_key.popitem(last=False)
        return True

    def restart(self, epoch):
        """Forget all parts as the store started anew."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._parts_by_key.clear()

    def heard(self, as_of):
        """Note that what is known was current at `as_of` ms."""
        if self._as_of is None or as_of > self._as_of:
            self._as_of = as_of

    def age(self):
        """Return the ms since the store was heard, or None if never."""
        return None if self._as_of is None else self._clock.now() - self._as_of

    def is_reachable(self):
        """Tell whether the store was heard lately."""
        age = self.age()
        return age is not None and age <= FRESH

    def holds(self, salt, id):
        """Tell whether the store has a part under `salt`."""
        part = self._parts_by_key.get((salt, id))
        return part is not None and part.tokens > 0
