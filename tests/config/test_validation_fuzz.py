import json

from hypothesis import given, settings, strategies as st

from mulberryhub.config.inventory import Inventory
from mulberryhub.config.validation import validate_inventory
from tests.support.inventories import document

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=8,
)


def all_paths(value, path=()):
    yield path
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for key, child in items:
        yield from all_paths(child, (*path, key))


DOCUMENT = document(vms=[("127.0.0.1:1", "127.0.0.1:2")])
PATHS = [path for path in all_paths(json.loads(DOCUMENT)) if path]


def document_with(path, value):
    root = json.loads(DOCUMENT)
    container = root
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return root


def check_validation(data):
    inventory, findings = validate_inventory(data)
    if findings.errors:
        assert inventory is None
        assert all(finding.path.startswith("$") for finding in findings.items)
    else:
        assert isinstance(inventory, Inventory)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_give_an_inventory_or_findings(data):
    check_validation(data)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(VALUES)
def test_any_json_gives_an_inventory_or_findings(value):
    check_validation(json.dumps(value).encode())


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.sampled_from(PATHS), VALUES)
def test_any_value_at_any_path_gives_an_inventory_or_findings(path, value):
    check_validation(json.dumps(document_with(path, value)).encode())
