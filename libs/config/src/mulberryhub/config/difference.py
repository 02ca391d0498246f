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


class InventoryDiff(msgspec.Struct, frozen=True):
    """The changes that turn one inventory into another.

    `upserted` has only the new and changed items, but all rules. `removed` has the
    ids of removed items by collection.
    """

    upserted: Inventory
    removed: dict[str, list[str]]


def diff_inventories(old, new):
    """Return the InventoryDiff that turns the inventory `old` into `new`."""
    upserted = Inventory(rules=new.rules)
    removed = {}
    for collection in ID_FIELDS_BY_COLLECTION:
        old_by_id = _items_by_id(old, collection)
        new_by_id = _items_by_id(new, collection)
        changed = [
            item for id_, item in new_by_id.items() if old_by_id.get(id_) != item
        ]
        removed_ids = [id_ for id_ in old_by_id if id_ not in new_by_id]
        setattr(upserted, collection, changed)
        if removed_ids:
            removed[collection] = removed_ids
    return InventoryDiff(upserted, removed)


def apply_difference(old, diff):
    """Return the inventory `old` with `diff` applied; new items are appended."""
    merged = Inventory(rules=diff.upserted.rules)
    for collection in ID_FIELDS_BY_COLLECTION:
        items_by_id = _items_by_id(old, collection)
        for id_ in diff.removed.get(collection, ()):
            items_by_id.pop(id_, None)
        items_by_id.update(_items_by_id(diff.upserted, collection))
        setattr(merged, collection, list(items_by_id.values()))
    return merged


def _items_by_id(inventory, collection):
    field = ID_FIELDS_BY_COLLECTION[collection]
    return {getattr(item, field): item for item in getattr(inventory, collection)}
