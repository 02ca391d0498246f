"""Which scope of cached prompt parts an attempt uses, and which store it shares."""

from collections import OrderedDict

SAVES_KEPT = 5_000  # shared parts whose last save is remembered
SAVE_AGAIN = 3_000  # ms after which a save that the store did not tell of is repeated


class Caching:
    """Sets salt, version and the store of kept KV cache on attempts.

    `find_store()` returns the address of the store or None; `kept` has the parts that
    it holds.
    """

    __slots__ = ("_find_store", "_kept", "_clock", "_saved_at_by_key")

    def __init__(self, find_store, kept, clock):
        self._find_store = find_store
        self._kept = kept
        self._clock = clock
        self._saved_at_by_key = OrderedDict()

    def prepare(self, attempt, call, version):
        """Set what makes cached parts of `call` usable at the attempt's upstream."""
        attempt.version = version
        attempt.salt = salt(call.model, version, attempt.workspace)
        if not call.shared_parts or not self._kept.is_reachable():
            return
        address = self._find_store()
        if address is None:
            return
        held = [self._kept.holds(attempt.salt, part.id) for part in call.shared_parts]
        if any(held):
            attempt.fetch_from = address
        if not held[-1] and self._is_due((attempt.salt, call.shared_parts[-1].id)):
            attempt.save_to = address

    def _is_due(self, key):
        now = self._clock.now()
        saved_at = self._saved_at_by_key.get(key)
        if saved_at is not None and now - saved_at < SAVE_AGAIN:
            return False
        self._saved_at_by_key[key] = now
        self._saved_at_by_key.move_to_end(key)
        if len(self._saved_at_by_key) > SAVES_KEPT:
            self._saved_at_by_key.popitem(last=False)
        return True


def salt(model, version, workspace):
    """Return the scope of cached parts: weights and, if isolated, the workspace."""
    scope = f"{model}:{version}"
    if workspace is not None and workspace.is_isolated:
        scope += f":{workspace.name}"
    return scope
