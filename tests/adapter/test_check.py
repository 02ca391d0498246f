import json
import subprocess
import sys

import msgspec
import pytest

from mulberryhub.adapter.configuration import (
    WireClientLimits,
    WireEngine,
    WireRoute,
    WireService,
    WireWorkspace,
)
from mulberryhub.adapter.document_check import read_document, wire_name
from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.fleet.records import ClientLimits, Route, Service, Workspace

COMMAND_TIMEOUT_S = 30


def find_paths(document):
    _, findings = read_document(json.dumps(document).encode())
    return {finding.path for finding in findings.items}


@pytest.fixture
def run_check(tmp_path):
    def run_check(document, *options):
        path = tmp_path / f"{len(list(tmp_path.iterdir()))}.json"
        path.write_text(json.dumps(document))
        command = [sys.executable, "-m", "mulberryhub.adapter.check", path, *options]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
        )
        assert "key-" not in done.stdout + done.stderr
        return path, done

    return run_check


@pytest.mark.parametrize(
    ("record_type", "wire_types"),
    [
        (Route, [WireRoute]),
        (Service, [WireService, WireEngine]),
        (Workspace, [WireWorkspace]),
        (ClientLimits, [WireClientLimits]),
    ],
)
def test_record_fields_have_names_of_the_document(record_type, wire_types):
    """Guards against findings at paths that the operator's document does not have."""
    names = {field for type_ in wire_types for field in type_.__struct_fields__}
    fields = record_type.__struct_fields__
    assert {wire_name(field).removeprefix("engine.") for field in fields} <= names


def test_paths_are_those_of_the_document():
    """Guards against findings that the operator cannot locate or does not see."""
    split = [{"service": "llm", "weight": 1}, {"service": "gone", "weight": 0}]
    routes = [
        route("a", "/a/", "idempotent", "gone"),
        route("b", "/b", "idempotent", "llm", trafficSplit=split, maxAttempt=2),
        route("c", "/c/", "stream", "desk", host="h:80"),
    ]
    assert find_paths(make_config(routes=routes)) == {
        "$.routes[0].service",
        "$.routes[1].pathPrefix",
        "$.routes[1].trafficSplit[1].service",
        "$.routes[1].trafficSplit[1].weight",
        "$.routes[1].service",
        "$.routes[1].maxAttempt",
        "$.routes[2].type",
        "$.routes[2].host",
        "$.services[0].engine.kvCapacity",
    }


def test_each_malformed_entry_is_reported():
    """Guards against one decoding error that hides the others."""
    tenants = [{"name": "t", "apiKeys": ["key-1", 2]}]
    document = make_config(services=[{"name": 1}, {}], tenants=tenants, limits=[])
    assert find_paths(document) == {
        "$.services[0].name",
        "$.services[1]",
        "$.tenants[0].apiKeys[1]",
        "$.limits",
    }
    for data in (b"{", b"[]", b"\xff", b"[" * 100_000):
        assert read_document(data)[0] is None


def test_command(run_check):
    """Guards against a wrong exit code, a lost difference and printed keys."""
    in_force, done = run_check(make_config(4))
    assert done.returncode == 0
    assert done.stdout.endswith("\nerrors: 0, warnings: 1\n")
    tenants = [{"name": "t1", "apiKeys": ["key-2"], "billingUnit": "token_stream"}]
    newer = make_config(5, tenants=tenants)
    _, done = run_check(newer, "--in-force", in_force)
    assert done.returncode == 0
    assert 'billingUnit: "" -> "token_stream"' in done.stdout
    assert "keys of t1: 1 added, 1 removed" in done.stdout
    _, done = run_check(make_config(4), "--in-force", in_force, "--json")
    assert done.returncode == 1
    report = msgspec.json.decode(done.stdout)
    assert "$.version" in [finding["path"] for finding in report["findings"]]
    assert report["difference"]["changes"] == []


def test_unreadable_files(run_check, tmp_path):
    """Guards against a missing comparison that looks like one without changes."""
    _, done = run_check({}, "--in-force", tmp_path / "missing")
    assert done.returncode == 2
    malformed, done = run_check({})
    assert done.returncode == 1
    _, done = run_check(make_config(), "--in-force", malformed)
    assert done.returncode == 2
