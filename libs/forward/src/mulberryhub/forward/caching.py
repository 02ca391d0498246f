"""Which scope of cached prompt parts an attempt uses, and which store it shares."""

from collections import OrderedDict

SAVED_KEPT = 20_000  # shared parts that are remembered as saved
SAVE_AGAIN = 30_000  # ms after which a shared part is saved again


class Caching:
    """Sets salt, version and the store of kept KV cache on attempts.

    `find_store()` returns the address of a store that is in use, or None.
    """

    __slots__ = ("_find_store", "_clock", "_saved_at_by_key")

    def __init__(self, find_store, clock):
        self._find_store = find_store
        self._clock = clock
        self._saved_at_by_key = OrderedDict()

    def prepare(self, attempt, call, version):
        """Set what makes cached parts of `call` usable at the attempt's upstream."""
        attempt.version = version
        attempt.salt = salt(call.model, version, attempt.workspace)
        if not call.shared_parts:
            return
        address = self._find_store()
        if address is None:
            return
        attempt.fetch_from = address
        key = (attempt.salt, call.shared_parts[-1].id)
        if self._is_new(key):
            attempt.save_to = address

    def _is_new(self, key):
        now = self._clock.now()
        saved_at = self._saved_at_by_key.get(key)
        if saved_at is not None and now - saved_at < SAVE_AGAIN:
            return False
        self._saved_at_by_key[key] = now
        self._saved_at_by_key.move_to_end(key)
        if len(self._saved_at_by_key) > SAVED_KEPT:
            self._saved_at_by_key.popitem(last=False)
        return True


def salt(model, version, workspace):
    """Return the scope of cached parts: weights and, if isolated, the workspace."""
    scope = f"{model}:{version}"
    if workspace is not None and workspace.is_isolated:
        scope += f":{workspace.name}"
    return scope
