import json
from time import time

import pytest

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    ORDER_PATH,
    Topology,
)
from mulberryhub.orders.idempotency import new_idempotency_key

KEY = CALLER_KEYS_BY_WORKSPACE["installers"]
UNKNOWN_KEY = "a-key-that-nobody-gave"
PLACES = [
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
def topology():
    with Topology(routers=2, settings={"log_level": "DEBUG"}) as topology:
        routers = list(topology.routers_by_id.values())
        apply_inventory(routers[0], topology.inventory())
        wait_ready(routers)
        yield topology


def send(topology, headers, query, key):
    router = topology.routers_by_id["vm-1"]
    filled = {name: value.replace("{}", key) for name, value in headers.items()}
    query = query.replace("{}", key)
    body = {
        "model": MODEL,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "hello"}],
    }
    chat = router.request(
        "POST", f"/v1/chat/completions{query}", headers=filled, json=body
    )
    once = {**filled, "Idempotency-Key": new_idempotency_key(int(time() * 1000))}
    order = router.request("POST", f"{ORDER_PATH}{query}", headers=once, json={"n": 1})
    return chat, order


@pytest.mark.parametrize("headers, query", PLACES)
def test_key_opens_the_routes_and_goes_no_further(topology, headers, query):
    chat, order = send(topology, headers, query, KEY)
    assert (chat.status, order.status) == (200, 201)
    assert KEY not in received(topology)
    for answer in send(topology, headers, query, UNKNOWN_KEY):
        assert answer.status == 401
        assert UNKNOWN_KEY not in answer.data.decode()
    assert UNKNOWN_KEY not in received(topology)


def test_logs_hold_no_key(topology):
    for router in topology.routers_by_id.values():
        for key in (*CALLER_KEYS_BY_WORKSPACE.values(), UNKNOWN_KEY, OPERATOR_KEY):
            assert key not in router.stderr()


def received(topology):
    reports = [
        engine.request("GET", "/report").json()
        for engine in topology.engines_by_id.values()
    ]
    reports.append(topology.order_worker.request("GET", "/runs").json())
    text = json.dumps(reports)
    assert "X-Request-Id" in text or "x-request-id" in text
    return text
