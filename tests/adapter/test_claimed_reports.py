"""Reports of engines and cache stores that are incomplete or contradict themselves."""

import json

import pytest

from mulberryhub.adapter.cache_store import CacheStoreClient
from mulberryhub.adapter.engines import EngineClient
from mulberryhub.fleet.cache_watcher import CacheStoreUnavailable
from tests.adapter.test_odd_answers import FixedHttpClient
from tests.forward.fakes import make_upstream

ADDRESS = "127.0.0.1:80"
REPORT = {
    "models": [{"name": "m1", "version": 1}],
    "busy": False,
    "sequence": 2,
    "running": 1,
    "waiting": 0,
}


def without(document, name):
    return {key: value for key, value in document.items() if key != name}


ODD_REPORTS_BY_NAME = {
    "empty": "{}",
    **{f"no_{name}": json.dumps(without(REPORT, name)) for name in REPORT},
    "no_version": json.dumps({**REPORT, "models": [{"name": "m1"}]}),
    "two_versions": json.dumps(
        {**REPORT, "models": [*REPORT["models"], {"name": "m1", "version": 9}]}
    ),
    "float": json.dumps({**REPORT, "sequence": 2.0}),
    "text": json.dumps({**REPORT, "busy": "false"}),
    "truncated": json.dumps(REPORT)[:-1],
    "bytes_behind_it": json.dumps(REPORT) + "x",
}


def read_report(text):
    client = EngineClient(FixedHttpClient(text.encode()))
    return client.read_report(make_upstream("u1"))


def test_complete_report_is_read():
    assert read_report(json.dumps(REPORT)).versions_by_model == {"m1": 1}


@pytest.mark.parametrize("name", ODD_REPORTS_BY_NAME)
def test_incomplete_or_contradictory_report_is_dropped_whole(name):
    assert read_report(ODD_REPORTS_BY_NAME[name]) is None


EVENTS = {
    "bootEpoch": 1,
    "next": 5,
    "lost": False,
    "events": [[4, "+", "s", "5c", 8, "m1"], [5, "-", "s", "5d", 0, "m1"]],
}
ODD_EVENTS_BY_NAME = {
    **{f"no_{name}": without(EVENTS, name) for name in EVENTS},
    "lost_as_text": {**EVENTS, "lost": "false"},
    "float": {**EVENTS, "next": 5.0},
    "other_sign": {**EVENTS, "events": [[4, "?", "s", "5c", 8, "m1"]]},
    "event_behind_the_next": {**EVENTS, "events": [[6, "+", "s", "5c", 8, "m1"]]},
}
INVENTORY = {"bootEpoch": 1, "next": 5, "held": [["s", "5c", 8, "m1"]]}


def make_cache_store_client(document):
    return CacheStoreClient(FixedHttpClient(json.dumps(document).encode()))


def test_complete_events_and_inventory_are_read():
    events = make_cache_store_client(EVENTS).read_events(ADDRESS, 3)
    assert [part.number for part in events.parts] == [4, 5]
    assert len(make_cache_store_client(INVENTORY).read_all(ADDRESS).parts) == 1


@pytest.mark.parametrize("name", ODD_EVENTS_BY_NAME)
def test_incomplete_or_contradictory_events_are_dropped_whole(name):
    client = make_cache_store_client(ODD_EVENTS_BY_NAME[name])
    with pytest.raises(CacheStoreUnavailable):
        client.read_events(ADDRESS, 3)


@pytest.mark.parametrize("name", INVENTORY)
def test_incomplete_inventory_is_dropped_whole(name):
    client = make_cache_store_client(without(INVENTORY, name))
    with pytest.raises(CacheStoreUnavailable):
        client.read_all(ADDRESS)
