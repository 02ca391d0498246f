"""Reports of engines and cache stores that are incomplete or contradict themselves."""

import json

import pytest

from mulberryhub.adapter.engines import EngineClient
from tests.adapter.test_odd_answers import FixedHttpClient
from tests.forward.fakes import make_upstream

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
