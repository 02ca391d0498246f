"""Store entries as another writer may leave them among those of the workers."""

import json

NESTING_DEPTH = 20_000
WHOLE_NUMBER = 10**400  # no float holds it
NESTED_LIST = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH

ODD_ADDRESSES_BY_NAME = {
    "port_above_range": "127.0.0.1:99999",
    "port_below_range": "127.0.0.1:-4",
    "port_zero": "127.0.0.1:0",
    "port_word": "127.0.0.1:http",
    "port_of_5000_digits": "127.0.0.1:" + "9" * 5_000,
    "no_port": "127.0.0.1",
    "no_address": "",
    "no_host": ":8080",
    "nul_in_host": "127.0.0\x00.1:8080",
    "host_of_100_accents": "é" * 100 + ":8080",
}
NESTED_FIELDS_BY_NAME = {
    "nested_in_unknown_field": "extra",
    "nested_in_models": "models",
}
ODD_NUMBERS_BY_NAME = {
    "slots_of_400_digits": {"slots": WHOLE_NUMBER},
    "born_of_400_digits": {"born": WHOLE_NUMBER},
    "weights_of_400_digits": {"models": [{"name": "m1", "version": WHOLE_NUMBER}]},
    "slots_above_64_bit": {"slots": 2**64},
    "born_that_no_float_holds": {"born": 2**53 + 1},
    "slots_below_zero": {"slots": -1},
}
SHAPES_BY_NAME = {
    "null": b"null",
    "list": b"[]",
    "no_utf8": b'{"service": "\xff"}',
    "empty_object": b"{}",
}


def worker_entry(**fields):
    """Return the document of a sound worker's entry; `fields` replaces fields."""
    return {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "sequence": 1,
        "models": [],
        **fields,
    }


def nested_entry(field):
    """Return the bytes of a sound entry but for one field, which is nested deeply."""
    text = json.dumps(worker_entry(**{field: None}))
    return text.replace(f'"{field}": null', f'"{field}": {NESTED_LIST}').encode()


def odd_addresses():
    """Return the bytes of an entry for each address to which nobody can connect."""
    return {
        name: json.dumps(worker_entry(address=address)).encode()
        for name, address in ODD_ADDRESSES_BY_NAME.items()
    }


def odd_numbers():
    """Return the bytes of an entry for each number out of range."""
    return {
        name: json.dumps(worker_entry(**fields)).encode()
        for name, fields in ODD_NUMBERS_BY_NAME.items()
    }


def nested_entries():
    """Return the bytes of an entry for each place of deep nesting."""
    entries = {
        name: nested_entry(field) for name, field in NESTED_FIELDS_BY_NAME.items()
    }
    return {**entries, "nested_at_top": NESTED_LIST.encode()}


def all_odd_entries():
    """Return the bytes of each odd entry by its name."""
    return {
        **nested_entries(),
        **odd_numbers(),
        **odd_addresses(),
        **SHAPES_BY_NAME,
    }
