"""The table of members that results from replaying the member records in order."""

from mulberryhub.peers.members import Member, MembershipState, MembershipView
from mulberryhub.replica.member_records import (
    Adopted,
    Joined,
    Left,
    Listed,
    MembersSnapshot,
    Removed,
)

NO_VIEW = MembershipView(-1, ())


class MemberTable:
    """Members and open views after the record at offset `last_offset`.

    The open views are the newest view and earlier ones whose shares some member may
    still use. Records that were already applied, and records about an earlier
    incarnation of a member, change nothing.
    """

    __slots__ = ("last_offset", "members_by_vm", "views")

    def __init__(self, last_offset=-1):
        self.last_offset = last_offset
        self.members_by_vm = {}
        self.views = [MembershipView(last_offset, ())]

    def snapshot(self):
        """Return the table as a MembersSnapshot."""
        members = list(self.members_by_vm.values())
        return MembersSnapshot(self.last_offset, members, list(self.views))

    def restore(self, snapshot):
        """Replace the contents of the table by a MembersSnapshot."""
        self.last_offset = snapshot.last_offset
        self.members_by_vm = {member.vm: member for member in snapshot.members}
        self.views = list(snapshot.views)

    def members(self):
        """Return the MembershipState, with the open views that limit their shares."""
        return MembershipState(dict(self.members_by_vm), tuple(self.views))

    def find(self, vm, incarnation):
        """Return the member with this VM and incarnation, or None."""
        member = self.members_by_vm.get(vm)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def apply(self, offset, record):
        """Apply the record at `offset`."""
        if offset <= self.last_offset:
            return
        self.last_offset = offset
        if isinstance(record, Joined):
            self._join(offset, record)
        elif isinstance(record, Left | Removed):
            self._remove(offset, record)
        elif isinstance(record, Listed | Adopted):
            self._update_member(record)
        self._remove_superseded_views()

    def needs_adoption(self, member):
        """Return whether `member` must adopt the newest view to close older ones."""
        return not self._fits_view(member, len(self.views) - 1)

    def _join(self, offset, record):
        if self.find(record.vm, record.incarnation) is not None:
            return
        is_new = record.vm not in self.members_by_vm
        self.members_by_vm[record.vm] = Member(
            record.vm,
            record.incarnation,
            record.data_centre,
            record.peer_address,
            confirmed_view=offset,
        )
        if is_new:
            self._add_view(offset)

    def _remove(self, offset, record):
        if self.find(record.vm, record.incarnation) is None:
            return
        del self.members_by_vm[record.vm]
        self._add_view(offset)

    def _update_member(self, record):
        member = self.find(record.vm, record.incarnation)
        if member is None:
            return
        if isinstance(record, Listed):
            member.seen_in_vm_list = True
        else:
            member.confirmed_view = max(member.confirmed_view, record.view_number)

    def _add_view(self, offset):
        self.views.append(MembershipView(offset, tuple(sorted(self.members_by_vm))))

    def _remove_superseded_views(self):
        """Remove the views before the newest one that all members fit."""
        members = self.members_by_vm.values()
        for index in range(len(self.views) - 1, 0, -1):
            if all(self._fits_view(member, index) for member in members):
                del self.views[:index]
                return

    def _fits_view(self, member, index):
        """Return whether `member` uses at most its share under the view at `index`.

        This is so if it has adopted that view or a later one, or if members were only
        removed since the view that it has adopted: its own share did not decrease.
        """
        while index > 0 and member.confirmed_view < self.views[index].offset:
            before = set(self.views[index - 1].vms)
            if not before.issuperset(self.views[index].vms):
                return False
            index -= 1
        return True
