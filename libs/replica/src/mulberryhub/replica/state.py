"""The configuration as a function of the log's records.

Whether a change is accepted depends only on earlier records, so that all routers
that read the same log agree, however they came by their state.
"""

import msgspec

from mulberryhub.config.administration import Change
from mulberryhub.config.difference import Difference, merge_difference
from mulberryhub.config.inventory import Key
from mulberryhub.config.reading import read_inventory
from mulberryhub.config.view import ConfigView
from mulberryhub.replica.records import (
    FORMAT,
    NO_INVENTORY,
    AddKey,
    EditInventory,
    Outcome,
    SetInventory,
    Snapshot,
    Unknown,
    WithdrawKey,
)

HISTORY_LENGTH = 50


class State:
    """The state before the record at offset `position`; -1 stands for none."""

    __slots__ = (
        "position",
        "offset",
        "compared",
        "inventory",
        "added_by_hash",
        "withdrawn",
        "history",
        "unread",
        "complete",
    )

    def __init__(self):
        self.position = 0
        self.offset = -1
        self.compared = -1
        self.inventory = None
        self.added_by_hash = {}
        self.withdrawn = set()
        self.history = []
        self.unread = None
        self.complete = True

    def replay(self, offset, record):
        """Take in the record at `offset` and return its Outcome."""
        self.position = offset + 1
        match record:
            case SetInventory():
                return self._set_inventory(offset, record)
            case EditInventory():
                return self._edit_inventory(offset, record)
            case AddKey():
                return self._add_key(offset, record)
            case WithdrawKey():
                return self._withdraw_key(offset, record)
            case Unknown():
                return self._pass_unknown(offset, record)
        return Outcome.IGNORED

    def is_stale(self, base):
        """Return whether something was set after the offset `base`."""
        return base < self.compared

    def _set_inventory(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.format > FORMAT:
            return self._pass_unread(offset, record)
        inventory, is_whole = read_inventory(record.inventory)
        if inventory is None:
            return Outcome.REFUSED
        self.unread = None
        return self._take_inventory(offset, record, inventory, is_whole)

    def _edit_inventory(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.format > FORMAT or self.unread is not None:
            return self._pass_unread(offset, record)
        replaced, is_whole = read_inventory(record.replaced)
        if replaced is None or self.inventory is None:
            return Outcome.REFUSED
        difference = Difference(replaced, record.removed)
        inventory = merge_difference(self.inventory, difference)
        return self._take_inventory(offset, record, inventory, is_whole)

    def _take_inventory(self, offset, record, inventory, is_whole):
        self.inventory = inventory
        self.complete = self.complete and is_whole
        self.compared = offset
        self._accept(offset, record, "set_inventory")
        return Outcome.ACCEPTED

    def _pass_unknown(self, offset, record):
        """Pass over a record of a newer kind, but count it where it is a change."""
        self.complete = False
        if record.base is None:
            return Outcome.IGNORED
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        return self._pass_unread(offset, record)

    def _pass_unread(self, offset, record):
        """Accept an inventory that only newer routers can read."""
        if self.unread is None:
            self.unread = offset
        self.complete = False
        self.compared = offset
        self._accept(offset, record, "set_inventory")
        return Outcome.ACCEPTED

    def _add_key(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.hash in self.withdrawn:
            return Outcome.REFUSED
        self.added_by_hash[record.hash] = Key(record.hash, record.workspace)
        self.compared = offset
        self._accept(offset, record, "add_key")
        return Outcome.ACCEPTED

    def _withdraw_key(self, offset, record):
        if record.hash not in self.withdrawn:
            self.withdrawn.add(record.hash)
            self.added_by_hash.pop(record.hash, None)
            self._accept(offset, record, "withdraw_key")
        return Outcome.ACCEPTED

    def _accept(self, offset, record, action):
        self.offset = offset
        self.history.append(Change(offset, record.change, record.author, action))
        del self.history[:-HISTORY_LENGTH]

    @property
    def view_offset(self):
        """Return the offset up to which every change is in force."""
        return self.offset if self.unread is None else self.unread - 1

    def view(self, withdrawn=frozenset()):
        """Return the ConfigView, or None where no inventory was ever set.

        `withdrawn` are hashes to refuse that the log does not hold yet.
        """
        if self.inventory is None:
            return None
        return ConfigView(
            self.view_offset,
            self.inventory,
            frozenset(self.withdrawn | withdrawn),
            list(self.added_by_hash.values()),
        )

    def to_snapshot(self):
        """Return the state as a Snapshot."""
        return Snapshot(
            position=self.position,
            offset=self.offset,
            compared=self.compared,
            inventory=msgspec.Raw(msgspec.json.encode(self.inventory)),
            added=list(self.added_by_hash.values()),
            withdrawn=sorted(self.withdrawn),
            history=list(self.history),
            unread=self.unread,
            complete=self.complete,
        )


def from_snapshot(snapshot):
    """Return the State in `snapshot`, or None where its inventory is malformed."""
    state = State()
    is_whole = True
    if bytes(snapshot.inventory) != NO_INVENTORY:
        state.inventory, is_whole = read_inventory(snapshot.inventory)
        if state.inventory is None:
            return None
    state.position = snapshot.position
    state.offset = snapshot.offset
    state.compared = snapshot.compared
    state.added_by_hash = {key.hash: key for key in snapshot.added}
    state.withdrawn = set(snapshot.withdrawn)
    state.history = list(snapshot.history)
    state.unread = snapshot.unread
    state.complete = snapshot.complete and is_whole
    return state
