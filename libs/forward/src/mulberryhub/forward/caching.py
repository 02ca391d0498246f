"""Which scope of cached prompt parts an attempt uses, and which store it shares."""

from collections import OrderedDict

SAVES_KEPT = 5_000  # shared parts whose last save is remembered
SAVE_AGAIN = 3_000  # ms after which a save that the store did not tell of is repeated


class Caching:
    """Sets salt, version and the store of kept KV cache on attempts.

    `find_store()` returns the store's Service or None; `kept` has the parts that it
    holds.
    """

    __slots__ = ("_find_store", "_kept", "_clock", "_saved_at_by_key")

    def __init__(self, find_store, kept, clock):
        self._find_store = find_store
        self._kept = kept
        self._clock = clock
        self._saved_at_by_key = OrderedDict()

    def prepare(self, attempt, call, version):
        """Set what makes cached parts of `call` usable at the attempt's upstream.

        What the store holds is told late, and a fetch in vain costs little.
        """
        attempt.version = version
        attempt.salt = salt(call.model, version, attempt.workspace)
        if not call.shared_parts or not self._kept.is_reachable():
            return
        store = self._find_store()
        if store is None:
            return
        attempt.fetch_from = store.cache_address
        last = (attempt.salt, call.shared_parts[-1].id)
        if not self._kept.holds(*last) and self._is_due(last):
            self._note_save(last)
            attempt.save_to = store.cache_address

    def _is_due(self, key):
        saved_at = self._saved_at_by_key.get(key)
        return saved_at is None or self._clock.now() - saved_at >= SAVE_AGAIN

    def _note_save(self, key):
        self._saved_at_by_key[key] = self._clock.now()
        self._saved_at_by_key.move_to_end(key)
        if len(self._saved_at_by_key) > SAVES_KEPT:
            self._saved_at_by_key.popitem(last=False)


def salt(model, version, workspace):
    """Return the scope of cached parts: weights and, if isolated, the workspace."""
    scope = f"{model}:{version}"
    if workspace is not None and workspace.is_isolated:
        scope += f":{workspace.name}"
    return scope
