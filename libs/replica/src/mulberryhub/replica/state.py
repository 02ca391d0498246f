"""The configuration state that results from replaying the records of the log.

Whether a change is accepted depends only on earlier records. All routers that read
the same log therefore agree, whether they started from the log or from a snapshot.
"""

import msgspec

from mulberryhub.config.administration import HistoryEntry
from mulberryhub.config.difference import InventoryDiff, apply_difference
from mulberryhub.config.inventory import Key
from mulberryhub.config.tolerant_decoding import decode_inventory
from mulberryhub.config.view import ConfigView
from mulberryhub.replica.records import (
    INVENTORY_FORMAT,
    NULL_INVENTORY_JSON,
    AddKey,
    ConfigSnapshot,
    EditInventory,
    Outcome,
    SetInventory,
    UnknownRecord,
    WithdrawKey,
)

MAX_HISTORY_COUNT = 50


class ConfigState:
    """The state before the record at offset `position`.

    `offset` is the offset of the last accepted change. `min_base` is the offset of
    the last accepted change other than a withdrawal; a change with a lower base is
    stale. Both are -1 if there is no such change. `unread_offset` is the offset of the
    first change since the last decoded inventory that this version cannot decode,
    or None. `is_complete` is False once a record or field was read that this version
    does not know.
    """

    __slots__ = (
        "position",
        "offset",
        "min_base",
        "inventory",
        "added_by_hash",
        "withdrawn_hashes",
        "history",
        "unread_offset",
        "is_complete",
    )

    def __init__(self):
        self.position = 0
        self.offset = -1
        self.min_base = -1
        self.inventory = None
        self.added_by_hash = {}
        self.withdrawn_hashes = set()
        self.history = []
        self.unread_offset = None
        self.is_complete = True

    def apply(self, offset, record):
        """Apply the record at `offset` and return its Outcome."""
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
            case UnknownRecord():
                return self._apply_unknown(offset, record)
        return Outcome.IGNORED

    def is_stale(self, base):
        """Return whether the inventory was changed or a key added after `base`."""
        return base < self.min_base

    def _set_inventory(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.format > INVENTORY_FORMAT:
            return self._accept_unread(offset, record)
        inventory, is_complete = decode_inventory(record.inventory)
        if inventory is None:
            return Outcome.REFUSED
        self.unread_offset = None
        return self._accept_inventory(offset, record, inventory, is_complete)

    def _edit_inventory(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.format > INVENTORY_FORMAT or self.unread_offset is not None:
            return self._accept_unread(offset, record)
        upserted, is_complete = decode_inventory(record.replaced)
        if upserted is None or self.inventory is None:
            return Outcome.REFUSED
        diff = InventoryDiff(upserted, record.removed)
        inventory = apply_difference(self.inventory, diff)
        return self._accept_inventory(offset, record, inventory, is_complete)

    def _accept_inventory(self, offset, record, inventory, is_complete):
        self.inventory = inventory
        self.is_complete = self.is_complete and is_complete
        self.min_base = offset
        self._accept(offset, record, "set_inventory")
        return Outcome.ACCEPTED

    def _apply_unknown(self, offset, record):
        """Ignore a record of an unknown kind, but account for it if it is a change."""
        self.is_complete = False
        if record.base is None:
            return Outcome.IGNORED
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        return self._accept_unread(offset, record)

    def _accept_unread(self, offset, record):
        """Accept a change that only newer router versions can decode."""
        if self.unread_offset is None:
            self.unread_offset = offset
        self.is_complete = False
        self.min_base = offset
        self._accept(offset, record, "set_inventory")
        return Outcome.ACCEPTED

    def _add_key(self, offset, record):
        if self.is_stale(record.base) or record.base >= offset:
            return Outcome.STALE
        if record.key_hash in self.withdrawn_hashes:
            return Outcome.REFUSED
        self.added_by_hash[record.key_hash] = Key(record.key_hash, record.workspace)
        self.min_base = offset
        self._accept(offset, record, "add_key")
        return Outcome.ACCEPTED

    def _withdraw_key(self, offset, record):
        if record.key_hash not in self.withdrawn_hashes:
            self.withdrawn_hashes.add(record.key_hash)
            self.added_by_hash.pop(record.key_hash, None)
            self._accept(offset, record, "withdraw_key")
        return Outcome.ACCEPTED

    def _accept(self, offset, record, action):
        self.offset = offset
        self.history.append(
            HistoryEntry(offset, record.change_id, record.author, action)
        )
        del self.history[:-MAX_HISTORY_COUNT]

    @property
    def view_offset(self):
        """Return the offset up to which every change is part of the view."""
        return self.offset if self.unread_offset is None else self.unread_offset - 1

    def view(self, pending_hashes=frozenset()):
        """Return the ConfigView, or None if no inventory was ever set.

        `pending_hashes` are hashes of withdrawn keys that the log does not hold yet.
        """
        if self.inventory is None:
            return None
        return ConfigView(
            self.view_offset,
            self.inventory,
            frozenset(self.withdrawn_hashes | pending_hashes),
            list(self.added_by_hash.values()),
        )

    def to_snapshot(self):
        """Return the state as a ConfigSnapshot."""
        return ConfigSnapshot(
            position=self.position,
            offset=self.offset,
            min_base=self.min_base,
            inventory=msgspec.Raw(msgspec.json.encode(self.inventory)),
            added_keys=list(self.added_by_hash.values()),
            withdrawn_hashes=sorted(self.withdrawn_hashes),
            history=list(self.history),
            unread_offset=self.unread_offset,
            is_complete=self.is_complete,
        )


def state_from_snapshot(snapshot):
    """Return the ConfigState in `snapshot`, or None if its inventory is malformed."""
    state = ConfigState()
    is_complete = True
    if bytes(snapshot.inventory) != NULL_INVENTORY_JSON:
        state.inventory, is_complete = decode_inventory(snapshot.inventory)
        if state.inventory is None:
            return None
    state.position = snapshot.position
    state.offset = snapshot.offset
    state.min_base = snapshot.min_base
    state.added_by_hash = {key.hash: key for key in snapshot.added_keys}
    state.withdrawn_hashes = set(snapshot.withdrawn_hashes)
    state.history = list(snapshot.history)
    state.unread_offset = snapshot.unread_offset
    state.is_complete = snapshot.is_complete and is_complete
    return state
