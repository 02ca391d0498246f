"""Which members lead their data centres, as far as this router can reach them."""


def ranked(members, data_centre):
    """Return the members of a data centre, the first candidate for leader first."""
    local_members = [item for item in members if item.data_centre == data_centre]
    return sorted(local_members, key=lambda member: member.rank)


class Leaders:
    """Selects the leader of each data centre, the strongest member that answers."""

    __slots__ = ("_local_member", "_fleet_state", "_reachability")

    def __init__(self, local_member, fleet_state, reachability):
        self._local_member = local_member
        self._fleet_state = fleet_state
        self._reachability = reachability

    def local(self):
        """Return the leader of this data centre, or None."""
        return self.of(self._local_member.data_centre)

    def of(self, data_centre):
        """Return the strongest member that is not known to be unreachable, or None.

        Where there is none ahead of this router, one that failed once is tried again.
        """
        again = None
        for member in self._ranked(data_centre):
            if member.name == self._local_member.name:
                return again or member
            if not self._reachability.is_unreachable(member):
                return member
            if again is None and self._reachability.may_try_again(member):
                again = member
        return again

    def all(self):
        """Return the leaders of all data centres, the strongest first."""
        leaders = [self.of(item) for item in self._fleet_state.ranked_by_data_centre]
        known = [leader for leader in leaders if leader is not None]
        return sorted(known, key=lambda leader: leader.rank)

    def count_ahead(self):
        """Return the number of local members that may answer ahead of this one."""
        count = 0
        for member in self._ranked(self._local_member.data_centre):
            if member.name == self._local_member.name:
                break
            count += not self._reachability.is_unreachable(member)
        return count

    def ahead_of(self, data_centre, subscription):
        """Return the members ahead of a followed one, or all until it has answered."""
        members = []
        for member in self._ranked(data_centre):
            if member.name == self._local_member.name:
                break
            if subscription is None or not subscription.member.is_same(member):
                members.append(member)
            elif subscription.coordinator:
                break
        return members

    def _ranked(self, data_centre):
        return self._fleet_state.ranked_by_data_centre.get(data_centre, ())
