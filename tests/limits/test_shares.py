from hypothesis import given, settings, strategies as st

from mulberryhub.limits.shares import (
    MAX_HOLDER_COUNT,
    HolderCache,
    holders_of,
    share_fraction,
)
from mulberryhub.peers.members import (
    Member,
    MembershipState,
    MembershipView,
    RouterIdentity,
)

WORKSPACES = [f"workspace-{index}" for index in range(20)]
VMS = [f"vm-{index:02}" for index in range(24)]


def test_all_vms_are_holders_up_to_the_maximum():
    vms = tuple(VMS[:MAX_HOLDER_COUNT])
    assert holders_of("w", vms) == vms


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.sets(st.sampled_from(VMS), min_size=1), max_size=12))
def test_cached_holders_equal_computed_holders(fleets):
    cache = HolderCache()
    for number, fleet in enumerate(fleets):
        view = MembershipView(number, tuple(sorted(fleet)))
        for workspace in WORKSPACES[: 10 + number]:
            expected = holders_of(workspace, view.vms)
            assert set(cache.holders(workspace, view)) == set(expected)


def test_fraction_is_the_smallest_of_all_views():
    router = RouterIdentity("vm-00", "dc", "127.0.0.1:1")
    member = Member(router.vm, router.incarnation, "dc", router.peer_address)
    views = (MembershipView(1, ("vm-00",)), MembershipView(2, ("vm-00", "vm-01")))
    members = MembershipState({router.vm: member}, views)
    assert share_fraction("w", router, members) == 0.5
    assert share_fraction("w", router, members, HolderCache().holders) == 0.5
    router.renew_incarnation()
    assert share_fraction("w", router, members) == 0.0
