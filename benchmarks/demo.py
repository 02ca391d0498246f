"""Demo: a loopback fleet serves two chats with a shared prefix and one order."""

import json
import sys
import time

import urllib3

from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    ORDER_PATH,
    LocalFleet,
)
from mulberryhub.orders.idempotency import new_idempotency_key

PREFIX_WORD_COUNT = 6_000
READY_TIMEOUT_S = 20.0
CHAT_TIMEOUT_S = 30.0
API_KEY = CALLER_KEYS_BY_WORKSPACE["installers"]


class DemoError(Exception):
    """A step of the demo failed or returned an unexpected result."""


class ChatResult:
    """The result of one streamed chat; `first_token_time` is in ms."""

    __slots__ = ("text", "upstream", "cached_tokens", "first_token_time")

    def __init__(self, text, upstream, cached_tokens, first_token_time):
        self.text = text
        self.upstream = upstream
        self.cached_tokens = cached_tokens
        self.first_token_time = first_token_time


def apply_inventory(router, inventory):
    """Apply `inventory` through the router's administration API.

    A router responds with 503 until it has loaded the current configuration, so the
    request is retried for up to READY_TIMEOUT_S. Raise DemoError if it still fails or
    if the router rejects the inventory.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        response = router.request(
            "POST",
            "/admin/inventory?base=-1&author=demo",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            body=json.dumps(inventory),
        )
        if response.status == 200:
            return
        if response.status != 503 or time.monotonic() > deadline:
            raise DemoError(
                f"applying the inventory failed with status {response.status}: "
                f"{response.data.decode()}"
            )
        time.sleep(0.05)


def wait_until_ready(routers):
    """Wait until all `routers` are ready and hold their shares of the rate limits.

    Raise DemoError after READY_TIMEOUT_S.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    for router in routers:
        while not is_ready(router):
            if time.monotonic() > deadline:
                raise DemoError(f"{router.address} did not become ready")
            time.sleep(0.05)


def is_ready(router):
    """Return whether `router` is ready and holds its shares of the rate limits."""
    response = router.request("GET", "/readyz")
    return response.status == 200 and response.json()["holds_shares"]


def stream_chat(router, question):
    """Stream one chat with the shared prefix through `router`.

    Return a ChatResult; raise DemoError if the router refuses the request.
    """
    prefix = " ".join(f"part-{index}" for index in range(PREFIX_WORD_COUNT))
    body = {
        "model": MODEL,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": 16,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": question},
        ],
    }
    started = time.monotonic()
    response = urllib3.request(
        "POST",
        router.url("/v1/chat/completions"),
        headers={"Authorization": f"Bearer {API_KEY}"},
        json=body,
        preload_content=False,
        timeout=CHAT_TIMEOUT_S,
    )
    if response.status != 200:
        raise DemoError(
            f"chat failed with status {response.status}: {response.data.decode()}"
        )
    return read_chat(response, started)


def read_chat(response, started):
    """Read a streamed response to its end and return the ChatResult.

    `started` is the monotonic time in s at which the request was sent. Raise
    DemoError if the stream ends early.
    """
    text, cached, first_token_time = [], 0, None
    is_complete = False
    for line in response:
        if line.startswith(b"data: [DONE]"):
            is_complete = True
        elif line.startswith(b"data: "):
            chunk = json.loads(line[6:])
            if first_token_time is None:
                first_token_time = round((time.monotonic() - started) * 1000)
            text.extend(item["delta"].get("content", "") for item in chunk["choices"])
            usage = chunk.get("usage") or {}
            cached = usage.get("prompt_tokens_details", {}).get("cached_tokens", cached)
    if not is_complete:
        raise DemoError("the stream ended before data: [DONE]")
    return ChatResult(
        "".join(text), response.headers.get("X-Upstream"), cached, first_token_time
    )


def place_order(router):
    """Place one order through `router` and return the HTTP response."""
    response = router.request(
        "POST",
        ORDER_PATH,
        headers={
            "Authorization": f"Bearer {API_KEY}",
            "Idempotency-Key": new_idempotency_key(time.time_ns() // 1_000_000),
        },
        json={"part": "seal-17", "quantity": 2},
    )
    if response.status >= 300:
        raise DemoError(
            f"order failed with status {response.status}: {response.data.decode()}"
        )
    return response


def run(fleet):
    """Send the three requests, print their results and stop the routers."""
    routers = list(fleet.routers_by_id.values())
    apply_inventory(routers[0], fleet.inventory())
    wait_until_ready(routers)
    for router, question in zip(routers, ("Which seal fits?", "Which motor fits?")):
        result = stream_chat(router, question)
        print(
            f"chat  through {router.address}: served by {result.upstream}, "
            f"{result.cached_tokens} cached tokens, "
            f"first token after {result.first_token_time} ms"
        )
    if not result.cached_tokens:
        raise DemoError("the second chat reused no cached tokens of the shared prefix")
    response = place_order(routers[2])
    print(
        f"order through {routers[2].address}: "
        f"served by {response.headers.get('X-Upstream')}, status {response.status}"
    )
    for router in routers:
        code = router.stop()
        if code != 0:
            raise DemoError(f"{router.address} exited with code {code}")
    print("all routers stopped gracefully")


def main():
    """Run the demo; exit with status 1 and an error message if a step fails."""
    try:
        with LocalFleet() as fleet:
            run(fleet)
    except (DemoError, RuntimeError, OSError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
