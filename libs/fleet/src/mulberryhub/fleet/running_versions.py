"""The weights versions that upstreams run, by entries, answers and rollouts."""


class IncarnationVersions:
    """The highest versions by model that one incarnation of an upstream reported."""

    __slots__ = ("started", "by_model")

    def __init__(self, started):
        self.started = started
        self.by_model = {}


class RunningVersions:
    """The versions of the newest incarnation of each upstream."""

    __slots__ = ("_versions_by_id",)

    def __init__(self):
        self._versions_by_id = {}

    def update(self, id, started, versions):
        """Record `versions` by model, reported by the incarnation `started` (ms).

        A later incarnation has none of the earlier one's.
        """
        known = self._versions_by_id.get(id)
        if known is None or known.started < started:
            known = self._versions_by_id[id] = IncarnationVersions(started)
        for model, version in versions.items():
            if version > known.by_model.get(model, 0):
                known.by_model[model] = version

    def at(self, id, model):
        """Return the version of `model` at an upstream, or 0 if unknown."""
        known = self._versions_by_id.get(id)
        return 0 if known is None else known.by_model.get(model, 0)

    def drop(self, id):
        """Forget an upstream."""
        self._versions_by_id.pop(id, None)
