"""Decoding of store entries: what is out of range gives no record, nothing raises."""

import json
from math import isfinite

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.adapter.records import read_member, read_operator, read_upstream
from mulberryhub.adapter_standins.documents import make_config, tenant
from mulberryhub.fleet.store import Entry
from tests.adapter.odd_entries import (
    SHAPES_BY_NAME,
    nested_entries,
    odd_addresses,
    odd_numbers,
    worker_entry,
)

MAX_NUMBER = 2**53 - 1  # a float holds all whole numbers up to it
MAX_TEXT_LENGTH = 4_096
MAX_PORT = 65_535
EXAMPLE_COUNT = 400
OFFSET = 7
READ_BY_KEY = {
    "u1": read_upstream,
    "config": read_operator,
    "version/m1": read_operator,
    "r0": read_member,
    "verdict/1": read_member,
}
VERDICT = {
    "suspect": {
        "type": "Suspect",
        "fingerprint": "ab12",
        "round": 1,
        "ended": [["u1", 5, True, "ab12"]],
    },
    "at": 1_000,
}
GOOD_BY_KEY = {
    "u1": worker_entry(models=[{"name": "m1", "version": 3}]),
    "config": make_config(tenants=[tenant("t1", ["k"], ratePerS=5, priority=1)]),
    "version/m1": {"model": "m1", "version": 3},
    "r0": {"address": "127.0.0.1:80", "data_centre": "a", "strength": 5},
    "verdict/1": VERDICT,
}
odd_values = st.one_of(
    st.sampled_from(
        [
            10**400,
            2**64,
            2**53,
            -1,
            -(2**64),
            1e300,
            0.5,
            True,
            None,
            "",
            "a\n",
            "\ud800",
            "9" * 5_000,
            "h:99999",
            "h:-4",
            "h\x00:80",
            "h:٣",
            [],
            {},
        ]
    ),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
)
documents = st.recursive(
    odd_values,
    lambda items: (
        st.lists(items, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["service", "address", "state", "slots", "born", "models", "version"]
            ),
            items,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def paths_of(document, path=()):
    """Return the path of each value within a document."""
    paths = [path]
    items = []
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        paths += paths_of(value, (*path, key))
    return paths


def replaced(document, path, value):
    """Return a copy of a document with the value at `path` replaced."""
    if not path:
        return value
    copy = list(document) if isinstance(document, list) else dict(document)
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


@st.composite
def mutated_entries(draw):
    key = draw(st.sampled_from(sorted(GOOD_BY_KEY)))
    document = GOOD_BY_KEY[key]
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(paths_of(document)))
        document = replaced(document, path, draw(odd_values | documents))
    return Entry(key, OFFSET, json.dumps(document).encode())


def read(key, value):
    return READ_BY_KEY[key](Entry(key, OFFSET, value))


def assert_values_in_range(value):
    if isinstance(value, bool) or value is None:
        return
    if isinstance(value, str):
        assert len(value) <= MAX_TEXT_LENGTH
        assert not any(ord(char) < 32 or ord(char) == 127 for char in value)
    elif isinstance(value, (int, float)):
        assert isfinite(value)
        assert abs(value) <= MAX_NUMBER
    elif isinstance(value, (list, tuple)):
        for item in value:
            assert_values_in_range(item)
    elif isinstance(value, dict):
        assert_values_in_range(list(value.items()))
    else:
        assert_values_in_range(msgspec.structs.astuple(value))


def assert_address_is_usable(address):
    host, _, port = address.rpartition(":")
    assert host
    host.encode("ascii")
    assert port.isascii()
    assert port.isdigit()
    assert 1 <= int(port) <= MAX_PORT


def assert_in_range(key, record):
    if record is None:
        return
    assert_values_in_range(record)
    msgspec.msgpack.encode(record)
    msgspec.json.encode(record)
    if key in ("u1", "r0"):
        assert_address_is_usable(record.address)
    if key == "u1":
        assert record.slots >= 0
        assert record.started >= 0
        assert all(version >= 0 for version in record.versions_by_model.values())


@pytest.mark.parametrize("key", GOOD_BY_KEY)
def test_good_entry_gives_record_in_range(key):
    record = read(key, json.dumps(GOOD_BY_KEY[key]).encode())
    assert record is not None
    assert_in_range(key, record)


@pytest.mark.parametrize("name", nested_entries())
@pytest.mark.parametrize("key", GOOD_BY_KEY)
def test_deep_nesting_gives_no_record_and_raises_nothing(key, name):
    assert read(key, nested_entries()[name]) is None


@pytest.mark.parametrize("name", odd_numbers())
def test_upstream_with_number_out_of_range_is_skipped(name):
    assert read("u1", odd_numbers()[name]) is None


@pytest.mark.parametrize("name", odd_addresses())
def test_upstream_with_address_that_nobody_can_connect_to_is_skipped(name):
    assert read("u1", odd_addresses()[name]) is None


@pytest.mark.parametrize("name", SHAPES_BY_NAME)
@pytest.mark.parametrize("key", GOOD_BY_KEY)
def test_malformed_entry_is_skipped(key, name):
    assert read(key, SHAPES_BY_NAME[name]) is None


@settings(max_examples=EXAMPLE_COUNT, deadline=None)
@given(mutated_entries())
def test_mutated_entry_gives_none_or_record_in_range(entry):
    assert_in_range(entry.key, READ_BY_KEY[entry.key](entry))


@settings(max_examples=EXAMPLE_COUNT, deadline=None)
@given(st.sampled_from(sorted(READ_BY_KEY)), documents)
def test_any_document_gives_none_or_record_in_range(key, document):
    assert_in_range(key, read(key, json.dumps(document).encode()))


@settings(max_examples=EXAMPLE_COUNT, deadline=None)
@given(st.sampled_from(sorted(READ_BY_KEY)), st.binary(max_size=200))
def test_any_bytes_give_none_or_record_in_range(key, value):
    assert_in_range(key, read(key, value))


@pytest.mark.parametrize(
    "id",
    ["line\nbreak", "nul\x00", " edge", "edge "],
    ids=["line_break", "nul", "space_before", "space_after"],
)
def test_upstream_whose_id_fits_in_no_header_is_skipped(id):
    value = json.dumps(worker_entry()).encode()
    assert read_upstream(Entry(id, OFFSET, value)) is None
