"""The weights versions that upstreams loaded by orders of this router."""


class LoadedVersions:
    """Versions by model, for the incarnation of each upstream that loaded last."""

    __slots__ = ("_by_id",)

    def __init__(self):
        self._by_id = {}

    def record(self, upstream, model, version):
        """Record that this incarnation of an upstream loaded a version."""
        started, versions = self._by_id.get(upstream.id, (None, {}))
        known = versions if started == upstream.started else {}
        self._by_id[upstream.id] = upstream.started, known | {model: version}

    def retain(self, ids):
        """Forget all upstreams except for `ids`."""
        self._by_id = {id: item for id, item in self._by_id.items() if id in ids}

    def versions_by_id(self):
        """Return the versions by model of each upstream, by its id."""
        return {id: versions for id, (_, versions) in self._by_id.items()}

    def started_by_id(self):
        """Return the starts of the incarnations, by the upstream's id."""
        return {id: started for id, (started, _) in self._by_id.items()}
