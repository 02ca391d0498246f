"""Streamed, non-streamed and refused requests through each of two routers."""

import urllib3

from benchmarks.demo import apply_inventory, stream_chat, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, LocalFleet

BODY = {"model": MODEL, "messages": [{"role": "user", "content": "hello there"}]}


def auth_headers(workspace="hotels"):
    return {"Authorization": f"Bearer {CALLER_KEYS_BY_WORKSPACE[workspace]}"}


def test_request_goes_from_client_to_engine_and_back():
    with LocalFleet(routers=2, services=False) as local_fleet:
        routers = list(local_fleet.routers_by_id.values())
        apply_inventory(routers[0], local_fleet.inventory())
        wait_until_ready(routers)
        first, second = (stream_chat(router, "Which seal?") for router in routers)
        assert first.text == second.text
        assert first.cached_tokens == 0
        assert second.cached_tokens >= 4_000
        check_non_streamed(routers[0], first.text)
        check_error_responses(routers[0])
        check_conflicting_body_lengths(routers[0])
        assert [router.stop() for router in routers] == [0, 0]


def check_non_streamed(router, streamed_text):
    response = router.request(
        "POST",
        "/v1/chat/completions",
        headers=auth_headers(),
        json={**BODY, "max_tokens": 16},
    )
    assert response.status == 200
    assert response.json()["choices"][0]["finish_reason"] == "length"
    listing = router.request("GET", "/v1/models", headers=auth_headers()).json()
    assert [item["id"] for item in listing["data"]] == [MODEL]


def check_error_responses(router):
    cases = [
        ("POST", "/v1/chat/completions", {}, BODY, 401, "missing_key"),
        (
            "GET",
            "/v1/chat/completions",
            auth_headers(),
            None,
            405,
            "method_not_allowed",
        ),
        ("POST", "/nowhere", auth_headers(), BODY, 404, "unknown_route"),
        (
            "POST",
            "/v1/chat/completions",
            auth_headers(),
            {**BODY, "model": "other"},
            404,
            "unknown_model",
        ),
    ]
    for method, path, request_headers, body, status, code in cases:
        response = router.request(method, path, headers=request_headers, json=body)
        assert (response.status, response.json()["error"]["code"]) == (status, code)
        assert response.json()["error"]["ran"] == "not_run"


def check_conflicting_body_lengths(router):
    for length_headers in ({"Content-Length": "2", "Transfer-Encoding": "chunked"},):
        response = urllib3.request(
            "POST",
            router.url("/v1/chat/completions"),
            headers={**auth_headers(), **length_headers},
            body=b"{}",
            retries=False,
        )
        assert response.status == 400
