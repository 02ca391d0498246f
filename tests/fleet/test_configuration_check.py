import msgspec
import pytest

from mulberryhub.base.findings import Findings
from mulberryhub.fleet.configuration_check import check_configuration, check_version
from mulberryhub.fleet.records import (
    ClientLimits,
    Configuration,
    RequestKind,
    Route,
    Service,
    Target,
    Workspace,
)

DESK = Service("desk")
READ = Route("read", "h", "/r/", RequestKind.IDEMPOTENT, [Target("desk", 1)], 9, 5)
TEAM = Workspace("team", ["secret"])
SOUND = Configuration(2, [READ], [DESK], [TEAM], lists_workspaces=True)
replace = msgspec.structs.replace


def with_route(**fields):
    return replace(SOUND, routes=[replace(READ, **fields)])


def with_service(**fields):
    return replace(SOUND, services=[DESK, Service("llm", **fields)])


def with_workspace(**fields):
    return replace(SOUND, workspaces=[replace(TEAM, **fields)])


def find(configuration):
    findings = Findings()
    check_configuration(configuration, findings)
    assert all("secret" not in str(finding) for finding in findings.items)
    return [(finding.level, finding.path) for finding in findings.items]


def test_sound_configuration_has_no_findings():
    """Guards against findings that operators would learn to ignore."""
    assert find(SOUND) == []
    stream = {"kind": RequestKind.STREAMING, "is_resumable": True}
    assert find(with_route(max_attempts=2, **stream)) == []


@pytest.mark.parametrize(
    ("configuration", "path"),
    [
        (with_route(path_prefix="/r"), "routes[0].path_prefix"),
        (with_route(path_prefix="r/"), "routes[0].path_prefix"),
        (replace(with_route(targets=[]), services=[]), "routes[0].targets"),
        (with_route(targets=[Target("desk", 0)]), "routes[0].targets"),
        (
            with_route(targets=[Target("desk", 2), Target("desk", -1)]),
            "routes[0].targets[1].weight",
        ),
        (with_route(timeout=0), "routes[0].timeout"),
        (with_route(target_latency=0), "routes[0].target_latency"),
        (with_workspace(rate=-1), "workspaces[0].rate"),
        (replace(SOUND, limits=ClientLimits(header_time=0)), "limits.header_time"),
        (replace(SOUND, limits=ClientLimits(idle_time=0)), "limits.idle_time"),
        (replace(SOUND, services=[DESK, DESK]), "services[1].name"),
        (
            replace(SOUND, routes=[READ, replace(READ, host="H", name="b")]),
            "routes[1].path_prefix",
        ),
        (
            replace(SOUND, workspaces=[TEAM, replace(TEAM, name="b")]),
            "workspaces[1].keys[0]",
        ),
    ],
)
def test_error(configuration, path):
    """Guards against changes that make requests fail or are ambiguous."""
    assert find(configuration) == [("error", f"$.{path}")]


@pytest.mark.parametrize(
    ("configuration", "path"),
    [
        (
            with_route(targets=[Target("desk", 1), Target("desk", 0)]),
            "routes[0].targets[1].weight",
        ),
        (with_route(target_latency=10), "routes[0].target_latency"),
        (with_route(target_gap=10), "routes[0].target_gap"),
        (with_route(is_resumable=True), "routes[0].is_resumable"),
        (
            with_route(kind=RequestKind.NON_IDEMPOTENT, max_attempts=2),
            "routes[0].max_attempts",
        ),
        (
            with_route(kind=RequestKind.STREAMING, max_attempts=2),
            "routes[0].max_attempts",
        ),
        (with_route(max_attempts=0), "routes[0].max_attempts"),
        (with_service(), "services[1]"),
        (with_workspace(keys=[]), "workspaces[0].keys"),
        (with_workspace(rate=1), "workspaces[0].burst"),
        (with_workspace(rate=1, burst=0.5), "workspaces[0].burst"),
        (
            with_workspace(rate=1, burst=9, default_tokens=10, counts_tokens=True),
            "workspaces[0].burst",
        ),
        (with_workspace(burst=1), "workspaces[0].rate"),
        (with_workspace(default_tokens=1), "workspaces[0].default_tokens"),
        (replace(SOUND, workspaces=[]), "workspaces"),
        (replace(SOUND, lists_workspaces=False), "workspaces[0].keys"),
        (replace(SOUND, limits=ClientLimits(idle_time=1)), "limits.idle_time"),
    ],
)
def test_warning(configuration, path):
    """Guards against entries and limits that have no effect or contradict others."""
    assert find(configuration) == [("warning", f"$.{path}")]


def test_unusable_services():
    """Guards against routes to services that serve no requests."""
    target = [("error", "$.routes[0].targets[0].service")]
    assert find(replace(SOUND, services=[])) == target
    assert (
        find(replace(SOUND, services=[Service("desk", cache_address="a:1")])) == target
    )
    assert find(with_service(cache_address="a:1")) == []


def test_models_without_capacity():
    """Guards against engines whose capacity is unknown to the routers."""
    assert [path for _, path in find(with_service(models=["m"]))] == [
        "$.services[1]",
        "$.services[1].slots",
        "$.services[1].kv_capacity",
    ]


@pytest.mark.parametrize(("version", "count"), [(1, 1), (2, 1), (3, 0)])
def test_version_must_increase(version, count):
    """Guards against a change that routers ignore as old."""
    findings = Findings()
    check_version(replace(SOUND, version=version), SOUND, findings)
    assert [item.path for item in findings.errors] == ["$.version"] * count
