"""Sets the cache scope and the KV cache store that an attempt uses."""

from collections import OrderedDict

MAX_REMEMBERED_SAVES = 5_000  # shared parts whose last save is remembered
# A save is repeated after this time if the store has not reported the part.
SAVE_RETRY_INTERVAL_MS = 3_000


class CacheDirectives:
    """Sets the salt, weights version and KV cache store of attempts.

    `find_scope(workspace)` returns the scope of cached parts that the configuration in
    force gives a workspace. `find_store()` returns the Service of the store or None;
    `cache_index` lists the prompt parts that the store holds.
    """

    __slots__ = (
        "_find_scope",
        "_find_store",
        "_cache_index",
        "_clock",
        "_saved_at_by_key",
    )

    def __init__(self, find_scope, find_store, cache_index, clock):
        self._find_scope = find_scope
        self._find_store = find_store
        self._cache_index = cache_index
        self._clock = clock
        self._saved_at_by_key = OrderedDict()

    def prepare(self, attempt, call, version):
        """Set the fields of `attempt` that let its upstream use cached parts of `call`.

        A fetch is requested even if the store is not known to hold the parts: its
        contents are reported with a delay, and a fetch that finds nothing costs little.
        """
        attempt.version = version
        scope = self._find_scope(attempt.workspace)
        attempt.salt = cache_salt(call.model, version, scope)
        if not call.shared_parts or not self._cache_index.is_reachable():
            return
        store = self._find_store()
        if store is None:
            return
        attempt.fetch_from = store.cache_address
        key = (attempt.salt, call.shared_parts[-1].id)
        if not self._cache_index.holds(*key) and self._is_save_due(key):
            self._remember_save(key)
            attempt.save_to = store.cache_address

    def holds_parts(self, call, workspace, version):
        """Return whether the store is known to hold the shared parts of `call`."""
        if not call.shared_parts or not self._cache_index.is_reachable():
            return False
        salt = cache_salt(call.model, version, self._find_scope(workspace))
        return self._cache_index.holds(salt, call.shared_parts[-1].id)

    def _is_save_due(self, key):
        saved_at = self._saved_at_by_key.get(key)
        return (
            saved_at is None or self._clock.now() - saved_at >= SAVE_RETRY_INTERVAL_MS
        )

    def _remember_save(self, key):
        self._saved_at_by_key[key] = self._clock.now()
        self._saved_at_by_key.move_to_end(key)
        if len(self._saved_at_by_key) > MAX_REMEMBERED_SAVES:
            self._saved_at_by_key.popitem(last=False)


def cache_salt(model, version, scope):
    """Return the text under which upstreams keep the prompt parts of `scope`."""
    return f"{model}:{version}{scope}"
