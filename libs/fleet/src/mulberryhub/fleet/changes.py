"""A log of changed records, from which updates to subscribers are built."""

from collections import OrderedDict

from mulberryhub.fleet.records import CachedPart

MAX_CHANGE_COUNT = 30_000  # records


class Change:
    """A record, the revision at which it was applied, and the router that sent it.

    `sender` is None for records that this router observed itself or read in the store.
    """

    __slots__ = ("revision", "record", "sender")

    def __init__(self, revision, record):
        self.revision = revision
        self.record = record
        self.sender = None


class ChangeLog:
    """The newest record of each key, in the order in which they were applied."""

    __slots__ = ("_changes_by_key",)

    def __init__(self):
        self._changes_by_key = OrderedDict()

    def append(self, key, revision, record):
        """Append `record`, applied at `revision`, in place of an older one of `key`.

        A full log drops its oldest record of a cached part to make room for a new key.
        """
        if (
            key not in self._changes_by_key
            and len(self._changes_by_key) >= MAX_CHANGE_COUNT
        ):
            self._drop_oldest_cached_part()
        self._changes_by_key[key] = Change(revision, record)
        self._changes_by_key.move_to_end(key)

    def drop(self, key):
        """Remove the record of `key`, if any."""
        self._changes_by_key.pop(key, None)

    def set_sender(self, record, sender):
        """Set the sender of `record` if it is the newest change, stored as received."""
        newest = next(reversed(self._changes_by_key.values()), None)
        if newest is not None and newest.record is record:
            newest.sender = sender

    def since(self, revision):
        """Return the Changes after `revision`, the oldest first."""
        changes = []
        for change in reversed(self._changes_by_key.values()):
            if change.revision <= revision:
                break
            changes.append(change)
        changes.reverse()
        return changes

    def _drop_oldest_cached_part(self):
        for key, change in self._changes_by_key.items():
            if isinstance(change.record, CachedPart):
                del self._changes_by_key[key]
                return
