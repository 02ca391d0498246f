"""Cached tokens are reused only within one workspace, engine run and version."""

from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL
from tests.system.streams import (
    ClientStream,
    StreamFleet,
    expected_text,
    get_report,
    request_body,
)


def router(fleet):
    return fleet.routers_by_id["vm-1"]


def read_complete_stream(fleet, **options):
    stream = ClientStream(router(fleet), request_body(4), **options).read()
    assert stream.text == expected_text(stream.body)
    return stream


def load_version(fleet, version):
    """Order all engines to load the weights of `version`."""
    order = {"kind": "load", "model": MODEL, "version": version, "fencing": 1}
    for engine in fleet.engines_by_id.values():
        assert engine.request("POST", "/orders", json=order).status == 200


def out_of_scope_counts(fleet):
    return [
        get_report(engine)["out_of_scope"] for engine in fleet.engines_by_id.values()
    ]


def test_workspaces_do_not_share_cached_tokens():
    with StreamFleet(routers=1, engines=1) as fleet:
        own, other = (CALLER_KEYS_BY_WORKSPACE[id] for id in ("hotels", "installers"))
        assert read_complete_stream(fleet, key=own).cached_tokens == 0
        assert read_complete_stream(fleet, key=own).cached_tokens > 0
        assert read_complete_stream(fleet, key=other).cached_tokens == 0


def test_restarted_engine_is_treated_as_having_an_empty_cache():
    with StreamFleet(routers=1, engines=1) as fleet:
        read_complete_stream(fleet)
        fleet.engines_by_id["engine-1"].set_faults(restart_empty=True)
        assert read_complete_stream(fleet).cached_tokens == 0
        assert out_of_scope_counts(fleet) == [0]


def test_new_weights_during_a_stream():
    with StreamFleet(routers=1, engines=1, options=("--load-time", 10)) as fleet:
        running = ClientStream(router(fleet), request_body(60)).read(5)
        load_version(fleet, "2")
        refused = ClientStream(router(fleet), request_body(4)).response
        assert refused.json()["error"]["ran"] == "not_run"
        fleet.model_version = "2"
        fleet.apply()
        assert read_complete_stream(fleet).cached_tokens == 0
        assert running.read().text == expected_text(running.body)
        assert out_of_scope_counts(fleet) == [0]


def test_stream_is_not_continued_with_other_weights():
    with StreamFleet(routers=1, options=("--load-time", 10)) as fleet:
        running = ClientStream(router(fleet), request_body(60)).read(5)
        load_version(fleet, "2")
        fleet.engine_serving(running).kill()
        running.read()
        assert running.error["ran"] == "ran"
        assert expected_text(running.body).startswith(running.text)
