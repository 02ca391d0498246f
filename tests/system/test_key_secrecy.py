"""API keys reach neither upstreams nor logs nor error responses."""

import json
from time import time

import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    ORDER_PATH,
    LocalFleet,
)
from mulberryhub.orders.idempotency import new_idempotency_key

KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
UNKNOWN_KEY = "a-key-that-nobody-gave"
KEY_LOCATIONS = [
    ({"Authorization": "Bearer {}"}, ""),
    ({"authorization": "bearer {}"}, ""),
    ({"X-Api-Key": "{}"}, ""),
    ({"X-Api-Key": "{}", "Authorization": "Bearer {}"}, ""),
    ({"X-Api-Key": "{}", "X-Request-Id": "{}"}, ""),
    ({"X-Api-Key": "{}", "User-Agent": "client {}"}, ""),
    ({"X-Api-Key": "{}", "Cookie": "session={}"}, ""),
    ({}, "?api_key={}"),
    ({}, "?key={}&other=1"),
]


@pytest.fixture(scope="module")
def local_fleet():
    with LocalFleet(routers=2, settings={"log_level": "DEBUG"}) as local_fleet:
        routers = list(local_fleet.routers_by_id.values())
        apply_inventory(routers[0], local_fleet.inventory())
        wait_until_ready(routers)
        yield local_fleet


def send(local_fleet, headers, query, key):
    router = local_fleet.routers_by_id["vm-1"]
    request_headers = {
        name: value.replace("{}", key) for name, value in headers.items()
    }
    query = query.replace("{}", key)
    body = {
        "model": MODEL,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "hello"}],
    }
    chat = router.request(
        "POST", f"/v1/chat/completions{query}", headers=request_headers, json=body
    )
    order_headers = {
        **request_headers,
        "Idempotency-Key": new_idempotency_key(int(time() * 1000)),
    }
    order = router.request(
        "POST", f"{ORDER_PATH}{query}", headers=order_headers, json={"n": 1}
    )
    return chat, order


@pytest.mark.parametrize("headers, query", KEY_LOCATIONS)
def test_key_authorizes_requests_and_is_not_forwarded(local_fleet, headers, query):
    chat, order = send(local_fleet, headers, query, KEY)
    assert (chat.status, order.status) == (200, 201)
    assert KEY not in received_by_upstreams(local_fleet)
    for response in send(local_fleet, headers, query, UNKNOWN_KEY):
        assert response.status == 401
        assert UNKNOWN_KEY not in response.data.decode()
    assert UNKNOWN_KEY not in received_by_upstreams(local_fleet)


def test_logs_contain_no_keys(local_fleet):
    for router in local_fleet.routers_by_id.values():
        for key in (*CALLER_KEYS_BY_WORKSPACE.values(), UNKNOWN_KEY, OPERATOR_KEY):
            assert key not in router.read_stderr()


def received_by_upstreams(local_fleet):
    reports = [
        engine.request("GET", "/report").json()
        for engine in local_fleet.engines_by_id.values()
    ]
    reports.append(local_fleet.order_worker.request("GET", "/runs").json())
    text = json.dumps(reports)
    assert "X-Request-Id" in text or "x-request-id" in text
    return text
