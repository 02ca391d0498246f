"""Computes and applies the difference between two inventories, by item."""

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
    """The changes that turn one inventory into another.

    `replaced` has only the new and changed items, but all rules. `removed` has the
    ids of removed items by collection.
    """

    replaced: Inventory
    removed: dict[str, list[str]]


def find_difference(old, new):
    """Return the Difference that turns the inventory `old` into `new`."""
    replaced = Inventory(rules=new.rules)
    removed = {}
    for collection in ID_FIELDS_BY_COLLECTION:
        old_by_id = _items_by_id(old, collection)
        new_by_id = _items_by_id(new, collection)
        changed = [
            item for id_, item in new_by_id.items() if old_by_id.get(id_) != item
        ]
        removed_ids = [id_ for id_ in old_by_id if id_ not in new_by_id]
        setattr(replaced, collection, changed)
        if removed_ids:
            removed[collection] = removed_ids
    return Difference(replaced, removed)


def merge_difference(old, difference):
    """Return the inventory `old` with `difference` applied; new items are appended."""
    merged = Inventory(rules=difference.replaced.rules)
    for collection in ID_FIELDS_BY_COLLECTION:
        items_by_id = _items_by_id(old, collection)
        for id_ in difference.removed.get(collection, ()):
            items_by_id.pop(id_, None)
        items_by_id.update(_items_by_id(difference.replaced, collection))
        setattr(merged, collection, list(items_by_id.values()))
    return merged


def _items_by_id(inventory, collection):
    field = ID_FIELDS_BY_COLLECTION[collection]
    return {getattr(item, field): item for item in getattr(inventory, collection)}
