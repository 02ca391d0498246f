"""Reads inventories that may have been written by newer versions."""

import msgspec

from mulberryhub.config.inventory import Inventory


def read_inventory(data):
    """Return the inventory in the JSON `data` and whether nothing was left out.

    Fields that this version doesn't know are left out; the inventory is None
    where the rest doesn't have the right types.
    """
    try:
        return msgspec.json.decode(data, type=Inventory), True
    except msgspec.ValidationError:
        return _read_known_fields(data), False
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None, False


def _read_known_fields(data):
    try:
        known = _keep_known(msgspec.json.decode(data), Inventory)
        return msgspec.convert(known, Inventory)
    except (msgspec.DecodeError, RecursionError):
        return None


def _keep_known(value, type_):
    """Return the JSON `value` without fields that the struct `type_` lacks."""
    if not isinstance(value, dict):
        return value
    known = {}
    for field in msgspec.structs.fields(type_):
        if field.encode_name in value:
            item = value[field.encode_name]
            known[field.encode_name] = _keep_known_items(item, field.type)
    return known


def _keep_known_items(value, type_):
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return _keep_known(value, type_)
    item_types = [
        item
        for item in getattr(type_, "__args__", ())
        if isinstance(item, type) and issubclass(item, msgspec.Struct)
    ]
    if item_types and isinstance(value, list):
        return [_keep_known(item, item_types[0]) for item in value]
    return value
