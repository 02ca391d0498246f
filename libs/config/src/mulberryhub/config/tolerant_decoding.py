"""Decodes inventories that may have been written by a newer version."""

import msgspec

from mulberryhub.config.inventory import Inventory


def decode_inventory(data):
    """Return the inventory in the JSON `data`, and whether it was decoded in full.

    Fields that are unknown to this version are ignored. The inventory is None if the
    JSON is malformed or the known fields have wrong types.
    """
    try:
        return msgspec.json.decode(data, type=Inventory), True
    except msgspec.ValidationError:
        return _decode_known_fields(data), False
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None, False


def _decode_known_fields(data):
    try:
        known = _drop_unknown_fields(msgspec.json.decode(data), Inventory)
        return msgspec.convert(known, Inventory)
    except (msgspec.DecodeError, RecursionError):
        return None


def _drop_unknown_fields(value, type_):
    """Return the JSON object `value` with only the fields of the struct `type_`."""
    if not isinstance(value, dict):
        return value
    known = {}
    for field in msgspec.structs.fields(type_):
        if field.encode_name in value:
            item = value[field.encode_name]
            known[field.encode_name] = _drop_unknown_fields_of_type(item, field.type)
    return known


def _drop_unknown_fields_of_type(value, type_):
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return _drop_unknown_fields(value, type_)
    item_types = [
        item
        for item in getattr(type_, "__args__", ())
        if isinstance(item, type) and issubclass(item, msgspec.Struct)
    ]
    if item_types and isinstance(value, list):
        return [_drop_unknown_fields(item, item_types[0]) for item in value]
    return value
