"""Makes the records of changes."""

from uuid import uuid4

import msgspec

from mulberryhub.config.difference import find_difference
from mulberryhub.replica.records import EditInventory, SetInventory


def new_change():
    """Return a unique id for a change."""
    return uuid4().hex


def inventory_change(state, base, author, inventory):
    """Return the record that sets `inventory`: only what differs from `state`.

    It holds for the inventory at `state` alone. That is so when the state was
    read past `base`: whatever is set later makes the record stale.
    """
    if state.inventory is None or state.unread is not None:
        document = msgspec.Raw(msgspec.json.encode(inventory))
        return SetInventory(new_change(), author, base, document)
    difference = find_difference(state.inventory, inventory)
    replaced = msgspec.Raw(msgspec.json.encode(difference.replaced))
    return EditInventory(new_change(), author, base, replaced, difference.removed)
