"""The decider's copy of what the store keeps of releases."""

from mulberryhub.fleet.saved_releases import StatusRecord
from mulberryhub.fleet.store import StoreUnavailable


class ReleaseLedger:
    """Reads all records once, then writes on the condition that nothing has changed.

    Addresses a decider that was paused: what it writes after another decider wrote is
    rejected. After a failure, everything is read again. All methods that call `store`
    raise StoreUnavailable.
    """

    __slots__ = ("_store", "_listing")

    def __init__(self, store):
        self._store = store
        self._listing = None

    @property
    def is_read(self):
        """Return whether the records are known."""
        return self._listing is not None

    @property
    def era(self):
        """Return the era of the store in which the records were read."""
        return self._listing.era

    def read(self):
        """Read all records."""
        self._listing = self._store.read()

    def forget(self):
        """Forget the records, which are then read again."""
        self._listing = None

    def saved(self, service):
        """Return the SavedRelease of a service, or None."""
        return self._listing.saved_by_service.get(service)

    def write(self, saved):
        """Write a SavedRelease unless the store has it."""
        listing = self._listing
        if listing.saved_by_service.get(saved.service) == saved:
            return
        listing.saved_end = self._call(self._store.save, saved, listing.saved_end)
        listing.saved_by_service[saved.service] = saved

    def write_status(self, service, state, target):
        """Write a status unless the store has it; return whether it was written."""
        listing = self._listing
        record = StatusRecord(service, state, target)
        if listing.status_by_service.get(service) == record:
            return False
        listing.status_end = self._call(
            self._store.put_status, record, listing.status_end
        )
        listing.status_by_service[service] = record
        return True

    def _call(self, write, record, end):
        try:
            return write(record, end)
        except StoreUnavailable:
            self._listing = None
            raise
