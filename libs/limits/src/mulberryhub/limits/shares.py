"""Which routers hold a workspace's rate, and how much of it each may use."""

from collections import OrderedDict
from functools import partial

from mulberryhub.base.digest import placement_score

MAX_HOLDERS = 9  # routers
VIEWS_KEPT = 4


def holders_of(workspace, vms):
    """Return the VMs that hold the workspace, by rendezvous hashing over `vms`."""
    if len(vms) <= MAX_HOLDERS:
        return vms
    return tuple(vm for _, vm in _top(_scored(workspace, vms)))


def fraction_of(workspace, router, members, holders=None):
    """Return the part of the workspace's rate and burst that `router` may use.

    It is the smallest part that any of the open views gives to it, and 0 for a
    run of the router that is not a member. `holders(workspace, view)` may stand
    in for `holders_of`.
    """
    if members is None or not members.includes(router):
        return 0.0
    part = partial(_part, workspace, router.vm, holders or _holders_in)
    return min(part(view) for view in members.views)


class HolderTable:
    """Remembers who holds which workspace, and derives a view from the one before.

    A change of one VM then costs one score for each workspace, and all of them
    only for the workspaces that a VM which is gone had held.
    """

    __slots__ = ("_ranks_by_view",)

    def __init__(self):
        self._ranks_by_view = OrderedDict()

    def holders(self, workspace, view):
        """Return the VMs that hold the workspace in `view`, as `holders_of` does."""
        if len(view.vms) <= MAX_HOLDERS:
            return view.vms
        ranks = self._ranks_by_view.get(view.number)
        if ranks is None:
            ranks = self._add(view)
        return ranks.holders(workspace)

    def _add(self, view):
        newest = next(reversed(self._ranks_by_view.values()), None)
        ranks = self._ranks_by_view[view.number] = ViewRanks(view.vms, newest)
        if len(self._ranks_by_view) > VIEWS_KEPT:
            _, oldest = self._ranks_by_view.popitem(last=False)
            oldest.base = None
        return ranks


class ViewRanks:
    """The holders by workspace in one view; `base` are those of an earlier view."""

    __slots__ = ("vms", "base", "_added", "_removed", "_ranked_by_workspace")

    def __init__(self, vms, base):
        self.vms = frozenset(vms)
        self.base = base
        earlier = base.vms if base is not None else frozenset()
        self._added = self.vms - earlier
        self._removed = earlier - self.vms
        self._ranked_by_workspace = {}

    def holders(self, workspace):
        """Return the VMs that hold the workspace."""
        return tuple(vm for _, vm in self._ranked(workspace))

    def _ranked(self, workspace):
        ranked = self._ranked_by_workspace.get(workspace)
        if ranked is None:
            ranked = self._ranked_by_workspace[workspace] = self._derive(workspace)
        return ranked

    def _derive(self, workspace):
        earlier = self._earlier(workspace)
        if earlier is None:
            return _top(_scored(workspace, self.vms))
        if not self._added:
            return earlier
        return _top([*earlier, *_scored(workspace, self._added)])

    def _earlier(self, workspace):
        """Return the ranks of the earlier view, unless a holder among them is gone."""
        if self.base is None:
            return None
        ranked = self.base._ranked_by_workspace.get(workspace)
        if ranked is None or any(vm in self._removed for _, vm in ranked):
            return None
        return ranked


def _scored(workspace, vms):
    seed = workspace.encode()
    return [(placement_score(seed, vm.encode()), vm) for vm in vms]


def _top(scored):
    return sorted(scored)[-MAX_HOLDERS:]


def _holders_in(workspace, view):
    return holders_of(workspace, view.vms)


def _part(workspace, vm, holders, view):
    vms = holders(workspace, view)
    return 1 / len(vms) if vm in vms else 0.0
