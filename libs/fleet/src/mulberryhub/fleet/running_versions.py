"""The weights versions that upstreams run, by entries, answers and rollouts."""

from collections import OrderedDict

MAX_UPSTREAM_COUNT = 20_000  # beyond which those without news for longest are dropped


class IncarnationVersions:
    """The highest versions by model that one incarnation of an upstream reported."""

    __slots__ = ("started", "by_model")

    def __init__(self, started):
        self.started = started
        self.by_model = {}


class RunningVersions:
    """The versions of the newest incarnation of each upstream.

    What is known of an incarnation does not depend on the order in which it was told.
    """

    __slots__ = ("_versions_by_id",)

    def __init__(self):
        self._versions_by_id = OrderedDict()

    def update(self, id, started, versions):
        """Record `versions` by model, reported by the incarnation `started` (ms).

        A later incarnation has none of the earlier one's.
        """
        known = self._versions_by_id.get(id)
        if known is not None and started < known.started:
            return
        if known is None or known.started < started:
            known = self._versions_by_id[id] = IncarnationVersions(started)
        self._versions_by_id.move_to_end(id)
        if len(self._versions_by_id) > MAX_UPSTREAM_COUNT:
            self._versions_by_id.popitem(last=False)
        for model, version in versions.items():
            if version > known.by_model.get(model, 0):
                known.by_model[model] = version

    def at(self, id, started, model):
        """Return the version of `model` at an incarnation, or 0 if unknown."""
        known = self._versions_by_id.get(id)
        if known is None or known.started != started:
            return 0
        return known.by_model.get(model, 0)
