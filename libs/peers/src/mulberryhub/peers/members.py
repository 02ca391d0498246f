"""Who the routers are, as agreed in the log: the input to placement and shares."""

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

    @property
    def newest(self):
        """Return the newest view."""
        return self.views[-1]
