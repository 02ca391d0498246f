"""The active configuration: the replayed log combined with pending withdrawals."""

from mulberryhub.base.logs import module_logger
from mulberryhub.replica.freshness import Freshness
from mulberryhub.replica.records import Outcome
from mulberryhub.replica.replay import Replayer
from mulberryhub.replica.withdrawals import PendingWithdrawals

log = module_logger(__name__)


class ActiveConfig:
    """The replayed state, the ConfigView built from it, and events for changes.

    There is no active configuration until the state was read up to the end of the
    log or taken from a peer. Its offset never decreases.
    """

    __slots__ = (
        "replayer",
        "pending",
        "freshness",
        "is_known",
        "_clock",
        "_counters",
        "_view",
        "_events_by_change_id",
    )

    def __init__(self, clock, counters):
        self.replayer = Replayer()
        self.pending = PendingWithdrawals()
        self.freshness = Freshness(clock, counters)
        self.is_known = False
        self._clock = clock
        self._counters = counters
        self._view = None
        self._events_by_change_id = {}

    @property
    def state(self):
        """Return the replayed ConfigState."""
        return self.replayer.state

    @property
    def is_caught_up(self):
        """Return whether the state is known and has no gap."""
        return self.is_known and not self.replayer.has_gap

    def view(self):
        """Return the ConfigView, or None while it is unknown or not confirmed."""
        return self._view if self.freshness.check() else None

    @property
    def has_operators(self):
        """Return whether the last known view has operators, confirmed or not."""
        return self._view is not None and bool(self._view.operators_by_hash)

    @property
    def last_known_view(self):
        """Return the last known ConfigView, confirmed or not."""
        return self._view

    def is_withdrawn(self, key_hash):
        """Return whether the key was withdrawn, in the log or pending."""
        is_pending = key_hash in self.pending.records_by_hash
        return is_pending or key_hash in self.state.withdrawn_hashes

    def notify_on_read(self, change_id, event):
        """Send the outcome and offset of a change to `event` once it is read."""
        self._events_by_change_id[change_id] = event

    def cancel_notification(self, change_id):
        """Remove the event of a change."""
        self._events_by_change_id.pop(change_id, None)

    def apply_page(self, page, request_time):
        """Apply a page of the log that was requested at `request_time`."""
        for record in page.records:
            replayed = self.replayer.apply_record(
                record.offset, record.payload, record.time
            )
            self._report_outcomes(replayed)
        if self.replayer.next_offset >= page.end and not self.replayer.has_gap:
            self.is_known = True
            self.freshness.confirm(request_time)
        self._update_view()

    def skip_to(self, oldest):
        """Continue at the offset `oldest`, since earlier records have expired."""
        self.replayer.skip_to(oldest)
        if self.replayer.has_gap:
            self._counters.add("config.gap")
            log.warning("log records before offset {} are lost", oldest)

    def restore_peer_snapshot(self, snapshot):
        """Replace the state by a peer's snapshot if the snapshot is newer.

        The view changes only with the next call of `publish_restored`.
        """
        replayed = self.replayer.restore_snapshot(snapshot)
        if replayed is None:
            return
        self._counters.add("config.adopted")
        self._report_outcomes(replayed)
        self._notify_from_history()

    def publish_restored(self):
        """Make the state restored from peers the active configuration."""
        if self.state.inventory is not None:
            self.is_known = True
        self._update_view()

    def withdraw(self, records, is_own=False):
        """Refuse the keys of `records` from now on; return the new records.

        `is_own` tells whether this router received the withdrawal from an operator.
        """
        unlogged = [
            item for item in records if item.key_hash not in self.state.withdrawn_hashes
        ]
        new = self.pending.add(unlogged, self._clock.now(), is_own)
        if new:
            self._counters.add("config.withdrawn_pending", len(new))
            self._update_view(is_changed=True)
        return new

    def _report_outcomes(self, replayed):
        """Count the outcomes and notify the events of the changes."""
        for item in replayed:
            if item.outcome is Outcome.IGNORED:
                continue
            self._counters.add(f"config.{item.outcome.name.lower()}")
            self._notify(item.record.change_id, item.outcome, item.offset)

    def _notify_from_history(self):
        """Notify the events of changes that a peer's snapshot already includes."""
        for change in self.state.history:
            self._notify(change.change, Outcome.ACCEPTED, change.offset)

    def _notify(self, change_id, outcome, offset):
        event = self._events_by_change_id.pop(change_id, None)
        if event is not None:
            event.send((outcome, offset))

    def _update_view(self, is_changed=False):
        """Rebuild the view if its offset has changed or `is_changed` is True."""
        if not self.is_known:
            return
        self.pending.remove(self.state.withdrawn_hashes)
        view = self._view
        is_same = view is not None and view.offset == self.state.view_offset
        if is_same and not is_changed:
            return
        self._view = self.state.view(self.pending.hashes)
        if self._view is not None and not is_changed:
            log.info("configuration in force at offset {}", self._view.offset)
