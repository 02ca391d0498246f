"""A small fleet for tests of streams, and callers that read them event by event."""

import json
import time

import urllib3

from benchmarks.demo import wait_ready
from benchmarks.topology import (
    CALLER_KEYS_BY_WORKSPACE,
    MODEL,
    OPERATOR_KEY,
    Topology,
)
from mulberryhub.standins.engine_text import answer_text

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"]
TIMEOUT = 30.0  # s
IDLE_TIMEOUT = 1_000  # ms


class StreamFleet(Topology):
    """Routers and engines with a short idle timeout."""

    def __init__(self, routers=2, engines=2, token_time=15, options=(), rules=None):
        options = ("--token-time", token_time, "--block-tokens", 50, *options)
        super().__init__(routers, engines, options, {"drain_delay": 50}, services=False)
        self.version = "1"
        self.rules = {"idle_timeout": IDLE_TIMEOUT, **(rules or {})}

    def __enter__(self):
        super().__enter__()
        self.offset = -1
        self.apply()
        wait_ready(list(self.routers_by_id.values()))
        return self

    def apply(self):
        """Put the inventory in force through the first router once it can take it."""
        answer = wait_for(self._apply)
        self.offset = answer.json()["offset"]

    def _apply(self):
        router = next(iter(self.routers_by_id.values()))
        answer = router.request(
            "POST",
            f"/admin/inventory?base={self.offset}&author=tests",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            json=self.inventory(),
        )
        assert answer.status in (200, 503), answer.data
        return answer if answer.status == 200 else None

    def inventory(self):
        models = [{"id": MODEL, "version": self.version}]
        return {**super().inventory(), "rules": self.rules, "models": models}

    def engine_of(self, stream):
        return self.engines_by_id[stream.upstream_id]


def request_body(tokens=40, text="which seal fits the door"):
    return {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"{text} " * 30}],
    }


class CallerStream:
    """One caller's stream; `texts` holds the tokens read so far."""

    def __init__(self, router, body, key=KEY, last_event_id=None):
        headers = {"Authorization": f"Bearer {key}"}
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        self.body = body
        self.answer = urllib3.request(
            "POST",
            router.url("/v1/chat/completions"),
            headers=headers,
            json=body,
            preload_content=False,
            retries=False,
            timeout=TIMEOUT,
        )
        self.upstream_id = self.answer.headers.get("X-Upstream")
        self.texts = []
        self.last_event_id = None
        self.usage = {}
        self.error = None
        self.done = False
        self._lines = iter(self.answer)

    def read(self, tokens=None):
        """Read `tokens` more tokens, or all to the end."""
        end = None if tokens is None else len(self.texts) + tokens
        while len(self.texts) != end:
            line = next(self._lines, None)
            if line is None:
                break
            self._take(line.rstrip(b"\n").decode())
        return self

    def _take(self, line):
        if line.startswith("id: "):
            self.last_event_id = line[4:]
        elif line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: "):
            self._take_data(json.loads(line[6:]))

    def _take_data(self, document):
        if "error" in document:
            self.error = document["error"]
            return
        self.usage = document.get("usage") or {}
        for choice in document["choices"]:
            if choice["delta"].get("content"):
                self.texts.append(choice["delta"]["content"])

    @property
    def text(self):
        return "".join(self.texts)

    @property
    def cached_tokens(self):
        return self.usage["prompt_tokens_details"]["cached_tokens"]

    def close(self):
        self.answer.close()


def expected(body):
    return answer_text(body, body["max_tokens"])


def report(engine):
    return engine.request("GET", "/report").json()


def wait_for(condition, timeout=TIMEOUT):
    """Return the first true value of `condition()`, polled until the timeout."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value or time.monotonic() > deadline:
            return value
        time.sleep(0.02)
