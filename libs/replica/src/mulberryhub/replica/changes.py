"""Builds the log records of configuration changes."""

from uuid import uuid4

import msgspec

from mulberryhub.config.difference import diff_inventories
from mulberryhub.replica.records import EditInventory, SetInventory


def new_change_id():
    """Return a unique id for a change."""
    return uuid4().hex


def build_inventory_change(state, base, author, inventory):
    """Return the record that sets `inventory`, with only what differs from `state`.

    `state` must include all records up to the offset `base`. The diff is valid only
    for the inventory in `state`; if a later record changes the inventory, replay
    rejects this record as stale.
    """
    if state.inventory is None or state.unread_offset is not None:
        document = msgspec.Raw(msgspec.json.encode(inventory))
        return SetInventory(new_change_id(), author, base, document)
    diff = diff_inventories(state.inventory, inventory)
    replaced = msgspec.Raw(msgspec.json.encode(diff.upserted))
    return EditInventory(new_change_id(), author, base, replaced, diff.removed)
