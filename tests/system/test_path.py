import urllib3

from benchmarks.demo import apply_inventory, chat, wait_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, Topology

BODY = {"model": MODEL, "messages": [{"role": "user", "content": "hello there"}]}


def headers(workspace="hotels"):
    return {"Authorization": f"Bearer {CALLER_KEYS_BY_WORKSPACE[workspace]}"}


def test_request_goes_from_caller_to_engine_and_back():
    with Topology(routers=2, services=False) as topology:
        routers = list(topology.routers_by_id.values())
        apply_inventory(routers[0], topology.inventory())
        wait_ready(routers)
        first, second = (chat(router, "Which seal?") for router in routers)
        assert first.text == second.text
        assert first.cached_tokens == 0
        assert second.cached_tokens >= 4_000
        check_whole(routers[0], first.text)
        check_refusals(routers[0])
        check_raw(routers[0])
        assert [router.stop() for router in routers] == [0, 0]


def check_whole(router, streamed):
    answer = router.request(
        "POST",
        "/v1/chat/completions",
        headers=headers(),
        json={**BODY, "max_tokens": 16},
    )
    assert answer.status == 200
    assert answer.json()["choices"][0]["finish_reason"] == "length"
    listing = router.request("GET", "/v1/models", headers=headers()).json()
    assert [item["id"] for item in listing["data"]] == [MODEL]


def check_refusals(router):
    cases = [
        ("POST", "/v1/chat/completions", {}, BODY, 401, "missing_key"),
        ("GET", "/v1/chat/completions", headers(), None, 405, "method_not_allowed"),
        ("POST", "/nowhere", headers(), BODY, 404, "unknown_route"),
        (
            "POST",
            "/v1/chat/completions",
            headers(),
            {**BODY, "model": "other"},
            404,
            "unknown_model",
        ),
    ]
    for method, path, sent, body, status, code in cases:
        answer = router.request(method, path, headers=sent, json=body)
        assert (answer.status, answer.json()["error"]["code"]) == (status, code)
        assert answer.json()["error"]["ran"] == "not_run"


def check_raw(router):
    for length in ({"Content-Length": "2", "Transfer-Encoding": "chunked"},):
        answer = urllib3.request(
            "POST",
            router.url("/v1/chat/completions"),
            headers={**headers(), **length},
            body=b"{}",
            retries=False,
        )
        assert answer.status == 400
