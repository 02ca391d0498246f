"""What is in force on this router: the replayed log and pending withdrawals."""

from mulberryhub.base.logs import module_logger
from mulberryhub.replica.freshness import Freshness
from mulberryhub.replica.records import Outcome
from mulberryhub.replica.replay import Replayer
from mulberryhub.replica.withdrawals import PendingWithdrawals

log = module_logger(__name__)


class InForce:
    """The state, the ConfigView built from it, and those who wait for a change.

    Nothing is in force before the state was read up to the log's end or taken
    from a peer; it never goes to a lower offset.
    """

    __slots__ = (
        "replayer",
        "pending",
        "freshness",
        "is_known",
        "_clock",
        "_counters",
        "_view",
        "_waiting_by_change",
    )

    def __init__(self, clock, counters):
        self.replayer = Replayer()
        self.pending = PendingWithdrawals()
        self.freshness = Freshness(clock, counters)
        self.is_known = False
        self._clock = clock
        self._counters = counters
        self._view = None
        self._waiting_by_change = {}

    @property
    def state(self):
        """Return the replayed state."""
        return self.replayer.state

    @property
    def is_caught_up(self):
        """Return whether the state is known and has no gap."""
        return self.is_known and not self.replayer.has_gap

    def view(self):
        """Return the ConfigView, or None while it is unknown or not confirmed."""
        return self._view if self.freshness.check() else None

    @property
    def names_operators(self):
        """Return whether the last known view has operators, confirmed or not."""
        return self._view is not None and bool(self._view.operators_by_hash)

    @property
    def last_view(self):
        """Return the last known ConfigView, confirmed or not."""
        return self._view

    def is_withdrawn(self, key_hash):
        """Return whether the key was withdrawn, kept in the log or not yet."""
        is_pending = key_hash in self.pending.records_by_hash
        return is_pending or key_hash in self.state.withdrawn

    def wait_for(self, change, event):
        """Send the Replayed record of the id `change` to `event` once it is read."""
        self._waiting_by_change[change] = event

    def forget(self, change):
        """Stop waiting for the id `change`."""
        self._waiting_by_change.pop(change, None)

    def take_page(self, page, asked):
        """Take in a page of the log that was asked for at the time `asked`."""
        for record in page.records:
            replayed = self.replayer.take(record.offset, record.payload, record.time)
            self._settle(replayed)
        if self.replayer.start >= page.end and not self.replayer.has_gap:
            self.is_known = True
            self.freshness.confirm(asked)
        self._publish()

    def skip_to(self, oldest):
        """Note that the log dropped the records before `oldest`."""
        self.replayer.skip_to(oldest)
        if self.replayer.has_gap:
            self._counters.add("config.gap")
            log.warning("log records before offset {} are lost", oldest)

    def adopt(self, snapshot):
        """Go on from a peer's snapshot where it is newer."""
        replayed = self.replayer.adopt(snapshot)
        if replayed is None:
            return
        self._counters.add("config.adopted")
        self._settle(replayed)
        self._settle_from_history()

    def publish_adopted(self):
        """Put what was adopted from peers in force."""
        if self.state.inventory is not None:
            self.is_known = True
        self._publish()

    def withdraw(self, records, is_own=False):
        """Refuse the keys of `records` from now on; return the new records."""
        fresh = [item for item in records if item.hash not in self.state.withdrawn]
        new = self.pending.add(fresh, self._clock.now(), is_own)
        if new:
            self._counters.add("config.withdrawn_pending", len(new))
            self._publish(is_changed=True)
        return new

    def _settle(self, replayed):
        """Count outcomes and wake those who wait for their change."""
        for item in replayed:
            if item.outcome is Outcome.IGNORED:
                continue
            self._counters.add(f"config.{item.outcome.name.lower()}")
            self._wake(item.record.change, item.outcome, item.offset)

    def _settle_from_history(self):
        """Wake those whose change a peer's snapshot already holds."""
        for change in self.state.history:
            self._wake(change.change, Outcome.ACCEPTED, change.offset)

    def _wake(self, change, outcome, offset):
        event = self._waiting_by_change.pop(change, None)
        if event is not None:
            event.send((outcome, offset))

    def _publish(self, is_changed=False):
        """Put the state in force where it has changed."""
        if not self.is_known:
            return
        self.pending.remove(self.state.withdrawn)
        view = self._view
        is_same = view is not None and view.offset == self.state.view_offset
        if is_same and not is_changed:
            return
        self._view = self.state.view(self.pending.hashes)
        if self._view is not None and not is_changed:
            log.info("configuration in force at offset {}", self._view.offset)
