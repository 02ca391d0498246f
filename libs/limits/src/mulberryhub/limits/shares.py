"""Selects the holders of each workspace and the share that each may use."""

from collections import OrderedDict
from functools import partial

from mulberryhub.base.digest import rendezvous_score

MAX_HOLDER_COUNT = 9
MAX_CACHED_VIEW_COUNT = 4


def holders_of(workspace, vms):
    """Return the VMs that hold a share of the workspace.

    They are selected from `vms` by rendezvous hashing.
    """
    if len(vms) <= MAX_HOLDER_COUNT:
        return vms
    return tuple(vm for _, vm in _highest(_score_vms(workspace, vms)))


def share_fraction(workspace, router, members, holders=None):
    """Return the fraction of the workspace's rate and burst that `router` may use.

    It is the smallest fraction under any of the views of `members`, and 0 if this
    incarnation of the router is not a member. `holders(workspace, view)` returns the
    holders under a view; the default uses `holders_of`.
    """
    if members is None or not members.includes(router):
        return 0.0
    view_fraction = partial(
        _view_fraction, workspace, router.vm, holders or _holders_in_view
    )
    return min(view_fraction(view) for view in members.views)


class HolderCache:
    """Caches the holders of workspaces by view, derived from the previous view.

    After a VM is added, only its own score is computed for each workspace. After a VM
    is removed, all scores are computed, but only for workspaces that it held.
    """

    __slots__ = ("_holders_by_view",)

    def __init__(self):
        self._holders_by_view = OrderedDict()

    def holders(self, workspace, view):
        """Return the VMs that hold the workspace in `view`, as by `holders_of`."""
        if len(view.vms) <= MAX_HOLDER_COUNT:
            return view.vms
        view_holders = self._holders_by_view.get(view.offset)
        if view_holders is None:
            view_holders = self._add_view(view)
        return view_holders.holders(workspace)

    def _add_view(self, view):
        newest = next(reversed(self._holders_by_view.values()), None)
        view_holders = self._holders_by_view[view.offset] = ViewHolders(
            view.vms, newest
        )
        if len(self._holders_by_view) > MAX_CACHED_VIEW_COUNT:
            _, oldest = self._holders_by_view.popitem(last=False)
            oldest.previous = None
        return view_holders


class ViewHolders:
    """The holders by workspace in one view.

    `previous` is the ViewHolders of an earlier view, or None.
    """

    __slots__ = ("vms", "previous", "_added", "_removed", "_scores_by_workspace")

    def __init__(self, vms, previous):
        self.vms = frozenset(vms)
        self.previous = previous
        previous_vms = previous.vms if previous is not None else frozenset()
        self._added = self.vms - previous_vms
        self._removed = previous_vms - self.vms
        self._scores_by_workspace = {}

    def holders(self, workspace):
        """Return the VMs that hold a share of the workspace."""
        return tuple(vm for _, vm in self._scores(workspace))

    def _scores(self, workspace):
        scores = self._scores_by_workspace.get(workspace)
        if scores is None:
            scores = self._scores_by_workspace[workspace] = self._compute_scores(
                workspace
            )
        return scores

    def _compute_scores(self, workspace):
        previous_scores = self._previous_scores(workspace)
        if previous_scores is None:
            return _highest(_score_vms(workspace, self.vms))
        if not self._added:
            return previous_scores
        return _highest([*previous_scores, *_score_vms(workspace, self._added)])

    def _previous_scores(self, workspace):
        """Return the holders' scores in the previous view.

        Return None if they are not known or one of the holders was removed.
        """
        if self.previous is None:
            return None
        scores = self.previous._scores_by_workspace.get(workspace)
        if scores is None or any(vm in self._removed for _, vm in scores):
            return None
        return scores


def _score_vms(workspace, vms):
    seed = workspace.encode()
    return [(rendezvous_score(seed, vm.encode()), vm) for vm in vms]


def _highest(scored):
    return sorted(scored)[-MAX_HOLDER_COUNT:]


def _holders_in_view(workspace, view):
    return holders_of(workspace, view.vms)


def _view_fraction(workspace, vm, holders, view):
    vms = holders(workspace, view)
    return 1 / len(vms) if vm in vms else 0.0
