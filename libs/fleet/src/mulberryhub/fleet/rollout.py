"""The progress of a weights rollout, as routers exchange it."""

import msgspec


class Rollout(msgspec.Struct, frozen=True):
    """The progress of a weights rollout, published by the router that controls it.

    A higher pair of `fence` and `revision` is newer. `loading` lists the ids of
    upstreams that are loading weights or about to. `versions_by_id` are what upstreams
    loaded, and `started_by_id` the incarnations that did so; 0 is an unknown one.
    """

    fence: int = -1
    revision: int = 0
    loading: list[str] = []
    versions_by_id: dict[str, dict[str, int]] = {}
    started_by_id: dict[str, int] = {}

    @property
    def order(self):
        """Return the sort key that orders rollouts by age."""
        return (self.fence, self.revision)
