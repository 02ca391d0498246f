"""The difference between two configurations, by entry.

Shows an operator what a change would add, remove and change. API keys are counted, so
that the difference can be printed and logged.
"""

import msgspec

COLLECTIONS = ("routes", "services", "workspaces")
KEYS_FIELD = "keys"


class FieldChange(msgspec.Struct, frozen=True):
    """The values of a field in force and in the new configuration."""

    old: object
    new: object


class Change(msgspec.Struct, frozen=True):
    """An entry of a collection that is `added`, `removed` or `changed`.

    `fields` has the changed fields; client limits are an entry without a name.
    """

    action: str
    collection: str
    name: str = ""
    fields: dict[str, FieldChange] = {}


class KeyChange(msgspec.Struct, frozen=True):
    """The numbers of API keys that a workspace gains and loses."""

    workspace: str
    added: int
    removed: int


class ConfigurationDifference(msgspec.Struct, frozen=True):
    """All changes; `requires_keys` is set if that differs from what is in force."""

    changes: list[Change]
    keys: list[KeyChange]
    requires_keys: bool | None = None


def diff_configurations(old, new):
    """Return the ConfigurationDifference that turns `old` into `new`."""
    changes = []
    for collection in COLLECTIONS:
        changes += _diff_collection(
            collection, getattr(old, collection), getattr(new, collection)
        )
    fields = _diff_fields(old.limits, new.limits)
    if fields:
        changes.append(Change("changed", "limits", fields=fields))
    has_changed = old.requires_keys != new.requires_keys
    return ConfigurationDifference(
        changes,
        _diff_keys(old.workspaces, new.workspaces),
        new.requires_keys if has_changed else None,
    )


def _diff_collection(collection, old_items, new_items):
    old_by_name = {item.name: item for item in old_items}
    new_by_name = {item.name: item for item in new_items}
    for name, item in new_by_name.items():
        if name not in old_by_name:
            yield Change("added", collection, name)
        elif fields := _diff_fields(old_by_name[name], item):
            yield Change("changed", collection, name, fields)
    for name in old_by_name:
        if name not in new_by_name:
            yield Change("removed", collection, name)


def _diff_fields(old, new):
    return {
        field: FieldChange(getattr(old, field), getattr(new, field))
        for field in new.__struct_fields__
        if field != KEYS_FIELD and getattr(old, field) != getattr(new, field)
    }


def _diff_keys(old_workspaces, new_workspaces):
    old_keys_by_name = {item.name: set(item.keys) for item in old_workspaces}
    new_keys_by_name = {item.name: set(item.keys) for item in new_workspaces}
    changes = []
    for name in old_keys_by_name | new_keys_by_name:
        old_keys = old_keys_by_name.get(name, set())
        new_keys = new_keys_by_name.get(name, set())
        if old_keys != new_keys:
            added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
            changes.append(KeyChange(name, added, removed))
    return changes
