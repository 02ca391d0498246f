"""The weights versions that upstreams run, by entries, answers and rollouts."""

from collections import OrderedDict

MAX_INCARNATION_COUNT = 20_000  # beyond which those without news longest are dropped


class RunningVersions:
    """The highest versions by model that each incarnation of an upstream reported.

    What is known of an incarnation depends neither on the order in which it was told
    nor on other incarnations. Their starts are not compared: the clock of the
    upstream's VM may have been set back between them.
    """

    __slots__ = ("_versions_by_incarnation",)

    def __init__(self):
        self._versions_by_incarnation = OrderedDict()

    def update(self, id, started, versions):
        """Record `versions` by model, reported by the incarnation `started`."""
        incarnations = self._versions_by_incarnation
        known = incarnations.setdefault((id, started), {})
        incarnations.move_to_end((id, started))
        if len(incarnations) > MAX_INCARNATION_COUNT:
            incarnations.popitem(last=False)
        for model, version in versions.items():
            if version > known.get(model, 0):
                known[model] = version

    def at(self, id, started, model):
        """Return the version of `model` at an incarnation, or 0 if unknown."""
        return self._versions_by_incarnation.get((id, started), {}).get(model, 0)
