from mulberryhub.fleet.records import Target, Workspace
from mulberryhub.forward.routes import ConfigurationView, choose_service
from tests.forward.fakes import make_configuration, make_route, make_service


def test_the_longest_prefix_of_the_host_wins():
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


def test_keys_find_their_workspace():
    workspaces = [Workspace("w", ["k1", "k2"]), Workspace("v", ["k3"])]
    view = ConfigurationView(make_configuration(workspaces=workspaces))
    assert view.workspaces_by_key["k2"].name == "w"
    assert view.workspaces_by_key.get("k4") is None


def test_the_cache_store_here_is_preferred():
    services = [
        make_service(name="far", cache_address="f", cache_data_centre="b"),
        make_service(name="near", cache_address="n", cache_data_centre="a"),
    ]
    view = ConfigurationView(make_configuration(services=services))
    assert view.cache_service("a").name == "near"
    assert view.cache_service("c").name == "far"


def test_targets_share_requests_by_weight():
    route = make_route(targets=[Target("x", 90), Target("y", 10)])
    drawn = [choose_service(route) for _ in range(2_000)]
    assert 100 < drawn.count("y") < 320
