"""Differences between inventories, item by item."""

import msgspec

from mulberryhub.config.inventory import Inventory

ID_FIELDS_BY_COLLECTION = {
    "vms": "id",
    "models": "id",
    "upstreams": "id",
    "workspaces": "id",
    "keys": "hash",
    "operators": "id",
    "routes": "path",
}


class Difference(msgspec.Struct, frozen=True):
    """What to put into an inventory and what to take out.

    `replaced` holds just the new and changed items, and all rules; `removed`
    holds ids by collection.
    """

    replaced: Inventory
    removed: dict[str, list[str]]


def find_difference(old, new):
    """Return the Difference that turns the inventory `old` into `new`."""
    replaced = Inventory(rules=new.rules)
    removed = {}
    for name in ID_FIELDS_BY_COLLECTION:
        old_by_id = _items_by_id(old, name)
        new_by_id = _items_by_id(new, name)
        changed = [
            item for id_, item in new_by_id.items() if old_by_id.get(id_) != item
        ]
        gone = [id_ for id_ in old_by_id if id_ not in new_by_id]
        setattr(replaced, name, changed)
        if gone:
            removed[name] = gone
    return Difference(replaced, removed)


def merge_difference(old, difference):
    """Return the inventory `old` with `difference` put in; new items go last."""
    merged = Inventory(rules=difference.replaced.rules)
    for name in ID_FIELDS_BY_COLLECTION:
        items_by_id = _items_by_id(old, name)
        for id_ in difference.removed.get(name, ()):
            items_by_id.pop(id_, None)
        items_by_id.update(_items_by_id(difference.replaced, name))
        setattr(merged, name, list(items_by_id.values()))
    return merged


def _items_by_id(inventory, name):
    field = ID_FIELDS_BY_COLLECTION[name]
    return {getattr(item, field): item for item in getattr(inventory, name)}
