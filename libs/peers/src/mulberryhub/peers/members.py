"""Membership of routers as recorded in the log.

It is the input to rendezvous hashing and to the shares of rate limits.
"""

from secrets import token_hex

import msgspec


class Member(msgspec.Struct):
    """A router that has joined: its VM, process incarnation and address for peers.

    `confirmed_view` is the offset of the latest view whose shares it has confirmed not
    to exceed, or -1. `seen_in_vm_list` is whether the VM has appeared in the platform's
    VM list since the router joined.
    """

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str
    confirmed_view: int = msgspec.field(default=-1, name="adopted")
    seen_in_vm_list: bool = msgspec.field(default=False, name="listed")


class MembershipView(msgspec.Struct, frozen=True):
    """The set of member VMs from log offset `offset` on, sorted."""

    offset: int = msgspec.field(name="number")
    vms: tuple[str, ...]


class MembershipState:
    """The members at one log offset, by VM, and the views still in use.

    `views` are in log order, from the latest view whose shares all members respect
    up to the newest one. A router may use only the smallest of its shares under them.
    """

    __slots__ = ("members_by_vm", "views")

    def __init__(self, members_by_vm, views):
        self.members_by_vm = members_by_vm
        self.views = views

    def includes(self, router):
        """Return whether this incarnation of `router` is a member."""
        member = self.members_by_vm.get(router.vm)
        return member is not None and member.incarnation == router.incarnation

    @property
    def newest_view(self):
        """Return the newest view."""
        return self.views[-1]


class RouterIdentity:
    """The identity of this process's router, which it announces when it joins."""

    __slots__ = ("vm", "data_centre", "peer_address", "incarnation")

    def __init__(self, vm, data_centre, peer_address):
        self.vm = vm
        self.data_centre = data_centre
        self.peer_address = peer_address
        self.incarnation = token_hex(8)

    def renew_incarnation(self):
        """Change to a new incarnation, as if the process had been restarted."""
        self.incarnation = token_hex(8)
