"""A small fleet for streaming tests, and a client that reads a stream by events."""

import json
import time

import urllib3

from benchmarks.demo import wait_until_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    LocalFleet,
)
from mulberryhub.standins.engine_text import answer_text

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
TIMEOUT_S = 30.0
IDLE_TIMEOUT_MS = 1_000


class StreamFleet(LocalFleet):
    """Routers and engines with a short idle timeout.

    `token_time` is in ms, `options` are further arguments of the engines, and `rules`
    replaces rules of the inventory.
    """

    def __init__(self, routers=2, engines=2, token_time=15, options=(), rules=None):
        options = ("--token-time", token_time, "--block-tokens", 50, *options)
        super().__init__(routers, engines, options, {"drain_delay": 50}, services=False)
        self.model_version = "1"
        self.rules = {"idle_timeout": IDLE_TIMEOUT_MS, **(rules or {})}

    def __enter__(self):
        super().__enter__()
        self.offset = -1
        self.apply()
        wait_until_ready(list(self.routers_by_id.values()))
        return self

    def apply(self):
        """Apply the inventory through the first router; retry while it responds 503."""
        response = poll_until_true(self._try_apply)
        self.offset = response.json()["offset"]

    def _try_apply(self):
        router = next(iter(self.routers_by_id.values()))
        response = router.request(
            "POST",
            f"/admin/inventory?base={self.offset}&author=tests",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            json=self.inventory(),
        )
        assert response.status in (200, 503), response.data
        return response if response.status == 200 else None

    def inventory(self):
        models = [{"id": MODEL, "version": self.model_version}]
        return {**super().inventory(), "rules": self.rules, "models": models}

    def engine_serving(self, stream):
        return self.engines_by_id[stream.upstream_id]


def request_body(max_tokens=40, text="which seal fits the door"):
    return {
        "model": MODEL,
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": f"{text} " * 30}],
    }


class ClientStream:
    """A streamed chat completion as the client sees it.

    `tokens` holds the text of the tokens read so far, `error` the error event, if any,
    and `is_done` whether the end-of-stream event has arrived.
    """

    def __init__(self, router, body, key=KEY, last_event_id=None):
        headers = {"Authorization": f"Bearer {key}"}
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        self.body = body
        self.response = urllib3.request(
            "POST",
            router.url("/v1/chat/completions"),
            headers=headers,
            json=body,
            preload_content=False,
            retries=False,
            timeout=TIMEOUT_S,
        )
        self.upstream_id = self.response.headers.get("X-Upstream")
        self.tokens = []
        self.last_event_id = None
        self.usage = {}
        self.error = None
        self.is_done = False
        self._lines = iter(self.response)

    def read(self, token_count=None):
        """Read `token_count` more tokens, or to the end of the stream if it is None."""
        end = None if token_count is None else len(self.tokens) + token_count
        while len(self.tokens) != end:
            line = next(self._lines, None)
            if line is None:
                break
            self._process_line(line.rstrip(b"\n").decode())
        return self

    def _process_line(self, line):
        if line.startswith("id: "):
            self.last_event_id = line[4:]
        elif line == "data: [DONE]":
            self.is_done = True
        elif line.startswith("data: "):
            self._process_chunk(json.loads(line[6:]))

    def _process_chunk(self, document):
        if "error" in document:
            self.error = document["error"]
            return
        self.usage = document.get("usage") or {}
        for choice in document["choices"]:
            if choice["delta"].get("content"):
                self.tokens.append(choice["delta"]["content"])

    @property
    def text(self):
        return "".join(self.tokens)

    @property
    def cached_tokens(self):
        return self.usage["prompt_tokens_details"]["cached_tokens"]

    def close(self):
        self.response.close()


def expected_text(body):
    return answer_text(body, body["max_tokens"])


def get_report(engine):
    return engine.request("GET", "/report").json()


def poll_until_true(condition, timeout=TIMEOUT_S):
    """Return the first true value of `condition()`, or its last after `timeout` s."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value or time.monotonic() > deadline:
            return value
        time.sleep(0.02)
