import json

from hypothesis import given, settings, strategies as st

from mulberryhub.config.inventory import Inventory
from mulberryhub.config.validation import validate_inventory
from tests.support.inventories import document

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def paths_of(value, path=()):
    yield path
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for key, inner in items:
        yield from paths_of(inner, (*path, key))


DOCUMENT = document(vms=[("127.0.0.1:1", "127.0.0.1:2")])
PATHS = [path for path in paths_of(json.loads(DOCUMENT)) if path]


def replaced(path, value):
    whole = json.loads(DOCUMENT)
    place = whole
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return whole


def check(data):
    inventory, findings = validate_inventory(data)
    if findings.errors:
        assert inventory is None
        assert all(finding.path.startswith("$") for finding in findings.items)
    else:
        assert isinstance(inventory, Inventory)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_give_an_inventory_or_findings(data):
    check(data)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(VALUES)
def test_any_json_gives_an_inventory_or_findings(value):
    check(json.dumps(value).encode())


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.sampled_from(PATHS), VALUES)
def test_any_value_in_any_place_gives_an_inventory_or_findings(path, value):
    check(json.dumps(replaced(path, value)).encode())
