"""Requests of two data centres that have a KV cache store each, with real processes."""

import pytest
import urllib3

from mulberryhub.adapter_standins.documents import MODEL, make_config
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

REQUEST_COUNT = 8


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path)
    stores = [
        {"name": f"kept-{zone}", "kvStoreAddr": "127.0.0.1:1", "zone": zone}
        for zone in "ab"
    ]
    model = {"name": "llm", "engine": {"slots": 8, "models": [{"name": MODEL}]}}
    try:
        fleet.configure(make_config(services=[model, {"name": "desk"}, *stores]))
        wait_until(lambda: all(is_serving(router) for router in fleet.routers))
        yield fleet
    finally:
        fleet.close()


def is_serving(router):
    return router.ask_model(id="warm").status == 200


def ask(router, name):
    """Ask with different shared parts; return the ids of the requests served."""
    ids = {f"{name}-{number}" for number in range(REQUEST_COUNT)}
    for id in ids:
        prefix = f"aa:100,{id}:100,cc:100"
        answer = router.ask_model(id=id, X_Mulberryhub_Prompt_Prefix=prefix)
        assert answer.status == 200
    return ids


def test_requests_stay_at_home_until_it_has_no_upstream(platform):
    """Guards against parts that are not wired, and requests that never leave."""
    home, other = platform.routers
    assert ask(home, "home") <= set(platform.runs("w1"))
    assert ask(other, "other") <= set(platform.runs("w2"))
    platform.workers_by_id["w1"].kill()
    left = ask(home, "left")
    assert left <= set(platform.runs("w2"))
    metrics = urllib3.request("GET", f"http://{home.metrics}/metrics").data.decode()
    assert "locality.no_home_upstream" in metrics
    assert 'mulberryhub_remote_share{topic="llm/b"}' in metrics
