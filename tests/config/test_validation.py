import msgspec
import pytest

from mulberryhub.config.validation import MAX_DOCUMENT_BYTES, validate_inventory
from tests.support.inventories import document, small_inventory


def error_paths(data):
    inventory, findings = validate_inventory(data)
    assert inventory is None
    return [finding.path for finding in findings.errors]


def test_valid_document_has_no_findings():
    inventory, findings = validate_inventory(document(vms=[("a:1", "a:2")]))
    assert inventory.workspaces[0].id == "w"
    assert findings.items == []


def test_all_findings_at_once(snapshot):
    data = {
        "vms": [{"id": "a", "data_centre": "x", "address": "a", "peer_address": "b:0"}],
        "models": [{"id": "m", "version": "1"}, {"id": "m", "version": "2"}],
        "upstreams": [
            {
                "id": "e",
                "kind": "engine",
                "data_centre": "x",
                "address": "h:1",
                "models": ["m", "gone"],
                "slots": 0,
            }
        ],
        "workspaces": [{"id": "w", "rate": -1, "burst": 5, "weight": 0}],
        "keys": [{"hash": "00", "workspace": "nobody"}],
        "operators": [{"id": "", "key_hash": "00"}],
        "routes": [{"path": "orders", "upstreams": ["e", "gone"]}],
        "rules": {"idle_timeout": 0},
    }
    _, findings = validate_inventory(msgspec.json.encode(data))
    assert [str(finding) for finding in findings.items] == snapshot


def test_wrong_types_are_reported_with_paths():
    data = {
        "workspaces": [{"id": 1, "rate": "x", "burst": 1}, {"id": "b", "burst": 1}],
        "rules": {"colour": "red"},
        "more": 1,
    }
    assert sorted(error_paths(msgspec.json.encode(data))) == [
        "$",
        "$.rules",
        "$.workspaces[0].id",
        "$.workspaces[0].rate",
        "$.workspaces[1]",
    ]


@pytest.mark.parametrize(
    "data", [b"", b"{", b"\xff", b"[" * 100_000, b"{}" * 2, b'{"vms": NaN}']
)
def test_malformed_json_is_reported_at_the_root(data):
    assert error_paths(data) == ["$"]


def test_too_large_document_is_reported_at_the_root():
    assert error_paths(document() + b" " * MAX_DOCUMENT_BYTES) == ["$"]


def test_wrong_type_in_a_large_document_is_reported_at_the_root():
    inventory = small_inventory(keys=[str(i) for i in range(8_000)])
    data = msgspec.to_builtins(inventory)
    data["workspaces"][0]["rate"] = "x"
    assert error_paths(msgspec.json.encode(data)) == ["$"]
