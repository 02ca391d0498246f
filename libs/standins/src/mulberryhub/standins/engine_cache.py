"""Prefix cache of the engine stand-in: a bounded LRU cache of token blocks."""

from collections import OrderedDict


class Block:
    """A cached block and the version of the weights that computed it."""

    __slots__ = ("scope", "digest", "tokens", "version")

    def __init__(self, scope, digest, tokens, version):
        self.scope = scope
        self.digest = digest
        self.tokens = tokens
        self.version = version

    def to_document(self):
        """Return the block as a dict in the export format."""
        return {
            "scope": self.scope,
            "digest": self.digest,
            "tokens": self.tokens,
            "version": self.version,
        }


class PrefixCache:
    """LRU cache of blocks by scope and digest, with a `capacity` in tokens.

    Calls `record(type, block)` for each block stored or removed. `out_of_scope`
    counts matched blocks of another version and rejected imports into another scope.
    """

    __slots__ = (
        "capacity",
        "tokens",
        "out_of_scope",
        "_blocks_by_key",
        "_record_event",
    )

    def __init__(self, capacity, record):
        self.capacity = capacity
        self.tokens = 0
        self.out_of_scope = 0
        self._blocks_by_key = OrderedDict()
        self._record_event = record

    def match(self, scope, digests, version):
        """Return the number of leading tokens in the cache and mark them as used.

        A block that was computed by another version counts as out of scope.
        """
        tokens = 0
        for digest in digests:
            block = self._blocks_by_key.get((scope, digest))
            if block is None:
                break
            if block.version != version:
                self.out_of_scope += 1
            self._blocks_by_key.move_to_end((scope, digest))
            tokens += block.tokens
        return tokens

    def store(self, block):
        """Add `block` and evict the least recently used blocks above the capacity."""
        key = (block.scope, block.digest)
        if key in self._blocks_by_key:
            self._blocks_by_key.move_to_end(key)
            return
        self._blocks_by_key[key] = block
        self.tokens += block.tokens
        self._record_event("stored", block)
        while self.tokens > self.capacity:
            self._evict_least_recent()

    def _evict_least_recent(self):
        _, block = self._blocks_by_key.popitem(last=False)
        self.tokens -= block.tokens
        self._record_event("removed", block)

    def clear(self):
        """Drop all blocks without recording events, as an engine crash does."""
        self._blocks_by_key.clear()
        self.tokens = 0

    def blocks(self, scope):
        """Return all blocks of `scope`."""
        return [item for item in self._blocks_by_key.values() if item.scope == scope]
