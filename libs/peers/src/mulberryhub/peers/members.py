"""Who the routers are, as agreed in the log: the input to placement and shares."""

from secrets import token_hex

import msgspec


class Member(msgspec.Struct):
    """One router: its VM, the run of its process and where peers reach it.

    `adopted` is the newest view that it has confirmed to hold its shares under;
    `listed` tells whether the platform's list has shown the VM since it joined.
    """

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str
    adopted: int = -1
    listed: bool = False


class View(msgspec.Struct, frozen=True):
    """The VMs that are members from log offset `number` on, in sorted order."""

    number: int
    vms: tuple[str, ...]


class Members:
    """Members at one moment.

    `views` runs from the newest view that all members hold their shares under to
    the newest one. A router may use only what it is due under every one of them.
    """

    __slots__ = ("members_by_vm", "views")

    def __init__(self, members_by_vm, views):
        self.members_by_vm = members_by_vm
        self.views = views

    def includes(self, router):
        """Tell whether this run of `router` is a member."""
        member = self.members_by_vm.get(router.vm)
        return member is not None and member.incarnation == router.incarnation

    @property
    def newest(self):
        """Return the newest view."""
        return self.views[-1]


class Router:
    """What this router says about itself when it joins."""

    __slots__ = ("vm", "data_centre", "peer_address", "incarnation")

    def __init__(self, vm, data_centre, peer_address):
        self.vm = vm
        self.data_centre = data_centre
        self.peer_address = peer_address
        self.incarnation = token_hex(8)

    def renew(self):
        """Take a new incarnation, as if the process had started again."""
        self.incarnation = token_hex(8)
