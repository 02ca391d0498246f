"""Stand-in for a KV cache store, which holds exported blocks by scope and digest.

`POST /cache/import` stores blocks in the export format of the engines, and
`GET /cache/export?scope=S` returns the blocks of one scope. Faults: `outage` (each
request is answered with 503) and `delay` (ms before each answer).
"""

import msgspec

from mulberryhub.standins.server import Answer, Faults, make_app, run_standin, sleep_ms


class KvCacheStore:
    """The HTTP interface of the store."""

    __slots__ = ("faults", "blocks_by_scope")

    def __init__(self):
        self.faults = Faults()
        self.blocks_by_scope = {}

    def handle(self, request):
        """Return the Answer to one request."""
        sleep_ms(self.faults.get("delay", 0))
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        if request.path == "/cache/import" and request.method == "POST":
            return self._import_blocks(request)
        if request.path == "/cache/export":
            blocks_by_digest = self.blocks_by_scope.get(request.query["scope"], {})
            return Answer({"blocks": list(blocks_by_digest.values())})
        return Answer({"error": "unknown path"}, status=404)

    def _import_blocks(self, request):
        blocks = msgspec.json.decode(request.body)["blocks"]
        for block in blocks:
            blocks_by_digest = self.blocks_by_scope.setdefault(block["scope"], {})
            blocks_by_digest[block["digest"]] = block
        return Answer({"imported": len(blocks)})


def make_kv_cache_store():
    """Return the WSGI application of a new store."""
    store = KvCacheStore()
    return make_app(store.handle, store.faults)


if __name__ == "__main__":
    run_standin(make_kv_cache_store())
