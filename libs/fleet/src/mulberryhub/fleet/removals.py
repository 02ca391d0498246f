"""Decides when upstreams that the store no longer lists are removed."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.records import Removal
from mulberryhub.fleet.state import OUTAGE_THRESHOLD_MS, Topic

RELISTING_TIME_MS = 2_500  # for live upstreams to be listed again after an outage
CHECK_INTERVAL_MS = 100  # between checks for removals that are due

log = module_logger(__name__)


class DelayedRemovals:
    """Applies removals at once, or after a delay if they follow a store outage.

    Records of live upstreams may expire while the store is down. The upstreams are
    listed again soon after it returns, and their newer records cancel the removal. The
    store counts as down if reads failed and no other router provided current data in
    the meantime: current data from another router means that only this router was cut
    off.

    A store that comes back from an older copy lacks upstreams that registered after the
    copy was made. They register again, so those that it does not list are removed after
    the same delay.
    """

    __slots__ = (
        "_fleet_state",
        "_clock",
        "_failing_since",
        "_store_returned_at",
        "_reverted_at",
        "_delayed_by_id",
    )

    def __init__(self, fleet_state, clock):
        self._fleet_state = fleet_state
        self._clock = clock
        self._failing_since = None
        self._store_returned_at = None
        self._reverted_at = None
        self._delayed_by_id = {}

    def start(self):
        """Start applying delayed removals in the background."""
        spawn_service(self._run)

    def record_failure(self, called_at):
        """Record that the store did not answer a call made at `called_at` ms."""
        if self._failing_since is None:
            self._failing_since = called_at

    def record_answer(self):
        """Record an answer of the store; call it before the answer is applied."""
        if self._failing_since is None:
            return
        returned_at = self._outage_end()
        if returned_at is not None:
            self._store_returned_at = returned_at
        self._failing_since = None

    def record_reverted(self):
        """Record that the store came back from an older copy."""
        self._reverted_at = self._clock.now()

    def apply_due(self):
        """Apply delayed removals once the topic is known as of the end of the delay.

        The data may come from another router, as this one may have stopped reading.
        """
        as_of = self._fleet_state.as_of_by_topic[Topic.UPSTREAMS]
        if not self._delayed_by_id or as_of < self._delay_end():
            return
        delayed, self._delayed_by_id = self._delayed_by_id, {}
        log.info("removals applied", count=len(delayed))
        for removal in delayed.values():
            self._fleet_state.apply_removal(removal)

    def delayed_count(self):
        """Return the number of delayed removals."""
        return len(self._delayed_by_id)

    def is_fully_applied(self):
        """Return whether no removal is delayed.

        Until then, a router must not publish its position in the topic: other routers
        would skip the removal and never apply it.
        """
        return not self._delayed_by_id

    def remove(self, id, offset):
        """Remove the upstream `id` because of the record at `offset`."""
        removal = Removal(id, offset)
        if self._is_recent(self._store_returned_at):
            self._delay(removal)
        else:
            self._fleet_state.apply_removal(removal)

    def remove_unlisted(self, ids, end):
        """Remove upstreams missing from `ids`, the complete listing as of `end`."""
        listed = set(ids)
        for upstream in list(self._fleet_state.upstreams_by_id.values()):
            if upstream.id in listed or upstream.offset >= end:
                continue
            if self._is_recent(self._reverted_at):
                self._delay(Removal(upstream.id, end - 1))
            else:
                self.remove(upstream.id, end - 1)
        self._fleet_state.record_listing(end)

    def _run(self):
        while True:
            self.apply_due()
            sleep(CHECK_INTERVAL_MS / 1000)

    def _delay(self, removal):
        self._delayed_by_id[removal.id] = removal
        log.info(
            "removal held back",
            upstream=removal.id,
            offset=removal.offset,
            for_ms=self._delay_end() - self._clock.now(),
        )

    def _delay_end(self):
        """Return the ms as of which the store lists all live upstreams again."""
        returned = [self._store_returned_at, self._reverted_at]
        return max(at for at in returned if at is not None) + RELISTING_TIME_MS

    def _is_recent(self, returned_at):
        if returned_at is None:
            return False
        return self._clock.now() - returned_at < RELISTING_TIME_MS

    def _outage_end(self):
        """Return the ms at which the store returned, or None if there was no outage."""
        now = self._clock.now()
        if now - self._failing_since <= OUTAGE_THRESHOLD_MS:
            return None
        if (
            now - self._fleet_state.as_of_by_topic[Topic.UPSTREAMS]
            > OUTAGE_THRESHOLD_MS
        ):
            return now
        regained_at = self._fleet_state.regained_at_by_topic[Topic.UPSTREAMS]
        return regained_at if regained_at >= self._failing_since else None
