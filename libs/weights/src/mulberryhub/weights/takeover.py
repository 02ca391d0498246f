"""Decides when a router may take the lease for a rollout of weights."""

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.weights.plan import EXPECTED_LOAD_TIME_MS

TAKEOVER_DELAY_PER_RANK_MS = 600
MAX_TAKEOVER_RANK = 6
FIRST_READ_INTERVAL_MS = 700  # between attempts at a first read of the lease


class Takeover:
    """When the router `name` may take `lease` and start loads.

    Routers rank themselves, so that they try one after another. Those that hear of
    another router's rollout leave it the lease for as long as that may last, counted
    from when they last heard of it. A router that held the lease before its restart
    does not wait for it.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_lease",
        "_clock",
        "_known_order",
        "_known_at",
        "_read_at",
    )

    def __init__(self, name, fleet_state, lease, clock):
        self._name = name
        self._fleet_state = fleet_state
        self._lease = lease
        self._clock = clock
        self._known_order = fleet_state.rollout.order
        self._known_at = clock.now()
        self._read_at = None

    def note_rollout(self, own_fence):
        """Note a rollout that was heard of; `own_fence` is that of this router's.

        Its fence is the offset of the lease's record, which the log holds by then.
        """
        rollout = self._fleet_state.rollout
        if rollout.order == self._known_order:
            return
        self._known_order = rollout.order
        if rollout.fence != own_fence:
            self._known_at = self._clock.now()
            self._lease.note_record(rollout.fence)

    def may_take(self, pending_since):
        """Return whether this router may try to take the lease now.

        `pending_since` is when it first knew of upstreams that lack weights.
        """
        since = pending_since
        if not self._lease.is_last_holder:
            since = max(since, self._known_at + self._lease.wait_ms)
        elapsed = self._clock.now() - since
        return elapsed >= 0 and elapsed >= self.rank_delay()

    def may_others_load(self):
        """Return whether loads that another process ordered may be in progress.

        After a start that process may be an earlier one of this router.
        """
        return self._clock.now() - self._known_at < EXPECTED_LOAD_TIME_MS

    def read_lease(self):
        """Read the lease's records, unless some were read since the start.

        Only the routers that are first in rank do so, one of which was the last holder
        in all likelihood; the others read when they try to take the lease.
        """
        now = self._clock.now()
        if self._lease.is_read or (
            self._read_at is not None and now - self._read_at < FIRST_READ_INTERVAL_MS
        ):
            return
        self._read_at = now
        if self._rank() < MAX_TAKEOVER_RANK:
            self._lease.read_new_records()

    def rank_delay(self):
        """Return the ms to wait before taking the lease, by this router's rank.

        The router that took the lease last does not wait.
        """
        if self._lease.is_last_holder:
            return 0
        return min(self._rank(), MAX_TAKEOVER_RANK) * TAKEOVER_DELAY_PER_RANK_MS

    def _rank(self):
        members_by_name = self._fleet_state.members_by_name
        if self._name not in members_by_name:
            return len(members_by_name)
        ranked = sorted(
            members_by_name, key=lambda name: rendezvous_score(b"order", name.encode())
        )
        return ranked.index(self._name)
