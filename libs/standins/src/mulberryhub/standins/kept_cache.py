"""Stand-in of a store of KV cache: keeps exported blocks by scope and digest.

`POST /cache/import` takes blocks as engines export them, `GET /cache/export?scope=S`
returns those of one scope. Faults: `outage` and `delay` (ms before each answer).
"""

import msgspec

from mulberryhub.standins.server import Answer, Faults, make_app, pause, run_standin


class KeptCache:
    """The blocks of each scope by digest."""

    __slots__ = ("faults", "blocks_by_scope")

    def __init__(self):
        self.faults = Faults()
        self.blocks_by_scope = {}

    def handle(self, request):
        """Serve one request."""
        pause(self.faults.get("delay", 0))
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        if request.path == "/cache/import" and request.method == "POST":
            return self._import(request)
        if request.path == "/cache/export":
            blocks_by_digest = self.blocks_by_scope.get(request.query["scope"], {})
            return Answer({"blocks": list(blocks_by_digest.values())})
        return Answer({"error": "unknown path"}, status=404)

    def _import(self, request):
        blocks = msgspec.json.decode(request.body)["blocks"]
        for block in blocks:
            blocks_by_digest = self.blocks_by_scope.setdefault(block["scope"], {})
            blocks_by_digest[block["digest"]] = block
        return Answer({"imported": len(blocks)})


def make_kept_cache():
    """Return the WSGI application of a new store."""
    store = KeptCache()
    return make_app(store.handle, store.faults)


if __name__ == "__main__":
    run_standin(make_kept_cache())
