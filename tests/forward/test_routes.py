import pytest

from mulberryhub.fleet.records import Configuration, Target, Workspace
from mulberryhub.forward.routes import ConfigurationView, choose_service
from tests.forward.fakes import make_configuration, make_route, make_service


def test_longest_path_prefix_of_the_host_is_used():
    routes = [
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
        make_route(name="other", host="o", path_prefix="/a/b/c/"),
    ]
    view = ConfigurationView(make_configuration(routes=routes))
    assert view.route("h", "/a/b/c/d").name == "long"
    assert view.route("H", "/a/bc").name == "short"
    assert view.route("h", "/b/") is None
    assert view.route("x", "/a/") is None


def test_workspaces_are_found_by_key():
    workspaces = [Workspace("w", ["k1", "k2"]), Workspace("v", ["k3"])]
    view = ConfigurationView(make_configuration(workspaces=workspaces))
    assert view.workspaces_by_key["k2"].name == "w"
    assert view.workspaces_by_key.get("k4") is None


# A configuration of an earlier build does not tell an empty list from none.
@pytest.mark.parametrize(
    "lists_workspaces, workspaces, requires_keys",
    [
        (True, [Workspace("w", ["k"])], True),
        (True, [Workspace("w", [])], True),
        (True, [], True),
        (False, [], False),
        (None, [Workspace("w", [])], True),
        (None, [], False),
    ],
)
def test_keys_are_required_where_workspaces_are_listed(
    lists_workspaces, workspaces, requires_keys
):
    configuration = Configuration(
        1, [], [], workspaces, lists_workspaces=lists_workspaces
    )
    assert configuration.requires_keys is requires_keys


def test_cache_store_in_the_data_centre_is_preferred():
    services = [
        make_service(name="far", cache_address="f", cache_data_centre="b"),
        make_service(name="near", cache_address="n", cache_data_centre="a"),
    ]
    view = ConfigurationView(make_configuration(services=services))
    assert view.cache_service("a").name == "near"
    assert view.cache_service("c").name == "far"
    assert view.has_cache_service("a") and not view.has_cache_service("c")


def test_targets_share_requests_by_weight():
    route = make_route(targets=[Target("x", 90), Target("y", 10)])
    chosen = [choose_service(route) for _ in range(2_000)]
    assert 100 < chosen.count("y") < 320
