def test_export_returns_only_blocks_of_the_scope(fleet):
    store = fleet.start("mulberryhub.standins.kv_cache_store")
    block = {"scope": "a", "digest": "d1", "tokens": 10}
    answer = store.request("POST", "/cache/import", json={"blocks": [block, block]})
    assert answer.json() == {"imported": 2}
    assert store.request("GET", "/cache/export?scope=a").json() == {"blocks": [block]}
    assert store.request("GET", "/cache/export?scope=b").json() == {"blocks": []}


def test_outage_answers_503(fleet):
    store = fleet.start("mulberryhub.standins.kv_cache_store")
    store.set_faults(outage=True)
    assert store.request("GET", "/cache/export?scope=a").status == 503
