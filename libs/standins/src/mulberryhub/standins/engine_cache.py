"""Prefix cache of the engine stand-in: blocks in limited memory, least used out."""

from collections import OrderedDict


class Block:
    """One cached block with the weights that computed it."""

    __slots__ = ("scope", "digest", "tokens", "version")

    def __init__(self, scope, digest, tokens, version):
        self.scope = scope
        self.digest = digest
        self.tokens = tokens
        self.version = version

    def document(self):
        """Return the block as it is exported."""
        return {
            "scope": self.scope,
            "digest": self.digest,
            "tokens": self.tokens,
            "version": self.version,
        }


class PrefixCache:
    """Blocks by scope and digest; `record(type, block)` hears of each change."""

    __slots__ = ("capacity", "tokens", "out_of_scope", "_blocks_by_key", "_record")

    def __init__(self, capacity, record):
        self.capacity = capacity
        self.tokens = 0
        self.out_of_scope = 0
        self._blocks_by_key = OrderedDict()
        self._record = record

    def match(self, scope, digests, version):
        """Return how many leading tokens are cached, and mark them as used.

        A block that other weights computed counts as a use out of scope.
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
        """Add `block`, and evict the least recently used ones over the capacity."""
        key = (block.scope, block.digest)
        if key in self._blocks_by_key:
            self._blocks_by_key.move_to_end(key)
            return
        self._blocks_by_key[key] = block
        self.tokens += block.tokens
        self._record("stored", block)
        while self.tokens > self.capacity:
            self._remove_oldest()

    def _remove_oldest(self):
        _, block = self._blocks_by_key.popitem(last=False)
        self.tokens -= block.tokens
        self._record("removed", block)

    def clear(self):
        """Drop all blocks without a word, as a crash does."""
        self._blocks_by_key.clear()
        self.tokens = 0

    def blocks(self, scope):
        """Return the blocks of `scope`."""
        return [item for item in self._blocks_by_key.values() if item.scope == scope]
