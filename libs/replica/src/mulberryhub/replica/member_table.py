"""The members that follow from replaying the records of the log in order."""

from mulberryhub.peers.members import Member, Members, View
from mulberryhub.replica.member_records import (
    Adopted,
    Gone,
    Joined,
    Left,
    Listed,
    Snapshot,
)

NO_VIEW = View(-1, ())


class MemberTable:
    """Members and open views after the record at offset `through`.

    Applying a record again, or one about an earlier incarnation, changes nothing.
    """

    __slots__ = ("through", "members_by_vm", "views")

    def __init__(self, through=-1):
        self.through = through
        self.members_by_vm = {}
        self.views = [View(through, ())]

    def snapshot(self):
        """Return the table as a record."""
        members = list(self.members_by_vm.values())
        return Snapshot(self.through, members, list(self.views))

    def restore(self, snapshot):
        """Replace the table by a record of it."""
        self.through = snapshot.through
        self.members_by_vm = {member.vm: member for member in snapshot.members}
        self.views = list(snapshot.views)

    def members(self):
        """Return the members and the views that bound their shares."""
        return Members(dict(self.members_by_vm), tuple(self.views))

    def find(self, vm, incarnation):
        """Return the member of this incarnation or None."""
        member = self.members_by_vm.get(vm)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def apply(self, offset, record):
        """Apply the record at `offset`."""
        if offset <= self.through:
            return
        self.through = offset
        if isinstance(record, Joined):
            self._join(offset, record)
        elif isinstance(record, Left | Gone):
            self._remove(offset, record)
        elif isinstance(record, Listed | Adopted):
            self._note(record)
        self._close_views()

    def lacks_adoption(self, member):
        """Tell whether others wait for `member` to adopt the newest view."""
        return not self._holds_under(member, len(self.views) - 1)

    def _join(self, offset, record):
        if self.find(record.vm, record.incarnation) is not None:
            return
        is_new = record.vm not in self.members_by_vm
        self.members_by_vm[record.vm] = Member(
            record.vm,
            record.incarnation,
            record.data_centre,
            record.peer_address,
            adopted=offset,
        )
        if is_new:
            self._add_view(offset)

    def _remove(self, offset, record):
        if self.find(record.vm, record.incarnation) is None:
            return
        del self.members_by_vm[record.vm]
        self._add_view(offset)

    def _note(self, record):
        member = self.find(record.vm, record.incarnation)
        if member is None:
            return
        if isinstance(record, Listed):
            member.listed = True
        else:
            member.adopted = max(member.adopted, record.view)

    def _add_view(self, offset):
        self.views.append(View(offset, tuple(sorted(self.members_by_vm))))

    def _close_views(self):
        """Drop the views before the newest that all members hold shares under."""
        members = self.members_by_vm.values()
        for index in range(len(self.views) - 1, 0, -1):
            if all(self._holds_under(member, index) for member in members):
                del self.views[:index]
                return

    def _holds_under(self, member, index):
        """Tell whether `member` uses no more than its share under a view.

        It does when it has adopted the view, or when members were only removed
        since the view that it has adopted, so that its own share did not fall.
        """
        while index > 0 and member.adopted < self.views[index].number:
            before = set(self.views[index - 1].vms)
            if not before.issuperset(self.views[index].vms):
                return False
            index -= 1
        return True
