"""Which routers hold a workspace's rate, and how much of it each may use."""

from mulberryhub.base.digest import placement_score

MAX_HOLDERS = 9  # routers


def holders_of(workspace, vms):
    """Return the VMs that hold the workspace, by rendezvous hashing over `vms`."""
    if len(vms) <= MAX_HOLDERS:
        return vms
    seed = workspace.encode()
    ranked = sorted(vms, key=lambda vm: placement_score(seed, vm.encode()))
    return tuple(ranked[-MAX_HOLDERS:])


def fraction_of(workspace, router, members):
    """Return the part of the workspace's rate and burst that `router` may use.

    It is the smallest part that any of the open views gives to it, and 0 for a
    run of the router that is not a member.
    """
    if members is None or not members.includes(router):
        return 0.0
    return min(_part(workspace, router.vm, view.vms) for view in members.views)


def _part(workspace, vm, vms):
    holders = holders_of(workspace, vms)
    return 1 / len(holders) if vm in holders else 0.0
