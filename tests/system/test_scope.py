from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL
from tests.system.streams import (
    CallerStream,
    StreamFleet,
    expected,
    report,
    request_body,
)


def router(fleet):
    return fleet.routers_by_id["vm-1"]


def answer(fleet, **options):
    stream = CallerStream(router(fleet), request_body(4), **options).read()
    assert stream.text == expected(stream.body)
    return stream


def load_version(fleet, version):
    """Load other weights on all engines."""
    order = {"kind": "load", "model": MODEL, "version": version, "fencing": 1}
    for engine in fleet.engines_by_id.values():
        assert engine.request("POST", "/orders", json=order).status == 200


def out_of_scope(fleet):
    return [report(engine)["out_of_scope"] for engine in fleet.engines_by_id.values()]


def test_workspaces_share_no_cache():
    with StreamFleet(routers=1, engines=1) as fleet:
        own, other = (CALLER_KEYS_BY_WORKSPACE[id] for id in ("hotels", "installers"))
        assert answer(fleet, key=own).cached_tokens == 0
        assert answer(fleet, key=own).cached_tokens > 0
        assert answer(fleet, key=other).cached_tokens == 0


def test_engine_that_returns_empty_is_used_as_empty():
    with StreamFleet(routers=1, engines=1) as fleet:
        answer(fleet)
        fleet.engines_by_id["engine-1"].fault(restart_empty=True)
        assert answer(fleet).cached_tokens == 0
        assert out_of_scope(fleet) == [0]


def test_new_weights_in_the_middle_of_a_stream():
    with StreamFleet(routers=1, engines=1, options=("--load-time", 10)) as fleet:
        running = CallerStream(router(fleet), request_body(60)).read(5)
        load_version(fleet, "2")
        refused = CallerStream(router(fleet), request_body(4)).answer
        assert refused.json()["error"]["ran"] == "not_run"
        fleet.version = "2"
        fleet.apply()
        assert answer(fleet).cached_tokens == 0
        assert running.read().text == expected(running.body)
        assert out_of_scope(fleet) == [0]


def test_stream_is_not_continued_with_other_weights():
    with StreamFleet(routers=1, options=("--load-time", 10)) as fleet:
        running = CallerStream(router(fleet), request_body(60)).read(5)
        load_version(fleet, "2")
        fleet.engine_of(running).kill()
        running.read()
        assert running.error["ran"] == "ran"
        assert expected(running.body).startswith(running.text)
