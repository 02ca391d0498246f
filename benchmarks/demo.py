"""The demo: a fleet on loopback serves two chats with a shared prefix and an order."""

import json
import sys
import time

import urllib3

from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    ORDER_PATH,
    Topology,
)
from mulberryhub.orders.idempotency import new_idempotency_key

PREFIX_WORDS = 6_000
READY_TIMEOUT = 20.0  # s
CHAT_TIMEOUT = 30.0  # s
KEY = CALLER_KEYS_BY_WORKSPACE["installers"]


class DemoFailed(Exception):
    """A step of the demo did not give what it must."""


class Chat:
    """What one streamed chat gave; the time is in ms."""

    __slots__ = ("text", "upstream", "cached_tokens", "first_token_time")

    def __init__(self, text, upstream, cached_tokens, first_token_time):
        self.text = text
        self.upstream = upstream
        self.cached_tokens = cached_tokens
        self.first_token_time = first_token_time


def apply_inventory(router, inventory):
    """Put `inventory` in force through the router's administration API.

    A router that does not know yet what is in force refuses; ask again for a while.
    """
    deadline = time.monotonic() + READY_TIMEOUT
    while True:
        answer = router.request(
            "POST",
            "/admin/inventory?base=-1&author=demo",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            body=json.dumps(inventory),
        )
        if answer.status == 200:
            return
        if answer.status != 503 or time.monotonic() > deadline:
            raise DemoFailed(f"apply answered {answer.status}: {answer.data.decode()}")
        time.sleep(0.05)


def wait_ready(routers):
    """Wait until all `routers` serve from their own shares."""
    deadline = time.monotonic() + READY_TIMEOUT
    for router in routers:
        while not is_ready(router):
            if time.monotonic() > deadline:
                raise DemoFailed(f"{router.address} did not become ready")
            time.sleep(0.05)


def is_ready(router):
    """Return whether `router` serves and holds its shares."""
    answer = router.request("GET", "/readyz")
    return answer.status == 200 and answer.json()["holds_shares"]


def chat(router, question):
    """Stream one chat with the shared prefix through `router`."""
    catalogue = " ".join(f"part-{index}" for index in range(PREFIX_WORDS))
    body = {
        "model": MODEL,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": 16,
        "messages": [
            {"role": "system", "content": catalogue},
            {"role": "user", "content": question},
        ],
    }
    started = time.monotonic()
    answer = urllib3.request(
        "POST",
        router.url("/v1/chat/completions"),
        headers={"Authorization": f"Bearer {KEY}"},
        json=body,
        preload_content=False,
        timeout=CHAT_TIMEOUT,
    )
    if answer.status != 200:
        raise DemoFailed(f"chat answered {answer.status}: {answer.data.decode()}")
    return read_chat(answer, started)


def read_chat(answer, started):
    """Read the events of a streamed answer to its end."""
    text, cached, first = [], 0, None
    ended = False
    for line in answer:
        if line.startswith(b"data: [DONE]"):
            ended = True
        elif line.startswith(b"data: "):
            chunk = json.loads(line[6:])
            if first is None:
                first = round((time.monotonic() - started) * 1000)
            text.extend(item["delta"].get("content", "") for item in chunk["choices"])
            usage = chunk.get("usage") or {}
            cached = usage.get("prompt_tokens_details", {}).get("cached_tokens", cached)
    if not ended:
        raise DemoFailed("the stream was truncated")
    return Chat("".join(text), answer.headers.get("X-Upstream"), cached, first)


def order(router):
    """Place one order through `router` and return the answer."""
    answer = router.request(
        "POST",
        ORDER_PATH,
        headers={
            "Authorization": f"Bearer {KEY}",
            "Idempotency-Key": new_idempotency_key(time.time_ns() // 1_000_000),
        },
        json={"part": "seal-17", "quantity": 2},
    )
    if answer.status >= 300:
        raise DemoFailed(f"order answered {answer.status}: {answer.data.decode()}")
    return answer


def run(fleet):
    """Serve the three requests and stop the routers."""
    routers = list(fleet.routers_by_id.values())
    apply_inventory(routers[0], fleet.inventory())
    wait_ready(routers)
    for router, question in zip(routers, ("Which seal fits?", "Which motor fits?")):
        result = chat(router, question)
        print(
            f"chat  through {router.address}: served by {result.upstream}, "
            f"{result.cached_tokens} cached tokens, "
            f"first token after {result.first_token_time} ms"
        )
    if not result.cached_tokens:
        raise DemoFailed("the second chat found nothing of the shared prefix cached")
    answer = order(routers[2])
    print(
        f"order through {routers[2].address}: "
        f"served by {answer.headers.get('X-Upstream')}, status {answer.status}"
    )
    for router in routers:
        code = router.stop()
        if code != 0:
            raise DemoFailed(f"{router.address} ended with code {code}")
    print("all routers stopped gracefully")


def main():
    """Run the demo; exit with 1 and a message where a step fails."""
    try:
        with Topology() as fleet:
            run(fleet)
    except (DemoFailed, RuntimeError, OSError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
