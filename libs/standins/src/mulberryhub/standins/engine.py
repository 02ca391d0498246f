"""Stand-in of a model engine: batching, prefix cache, streams and faults.

Run `python -m mulberryhub.standins.engine HOST:PORT`; `--help` lists its sizes.
"""

import sys
from uuid import uuid4

import defopt
import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.engine_batch import Batch, EngineOptions, Sequence
from mulberryhub.standins.engine_cache import PrefixCache
from mulberryhub.standins.engine_text import prompt_text
from mulberryhub.standins.server import Answer, Faults, make_app, serve

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")


class Engine:
    """One engine; `options` are its sizes and speeds."""

    __slots__ = (
        "options",
        "clock",
        "faults",
        "incarnation",
        "cache",
        "batch",
        "sequences_by_id",
        "runs_by_id",
    )

    def __init__(self, options, clock=None):
        self.options = options
        self.clock = clock or Clock()
        self.faults = Faults()
        self.incarnation = uuid4().hex
        self.cache = PrefixCache(options.cache_tokens, self._record)
        self.batch = Batch(options, self.cache, self.faults)
        self.sequences_by_id = {}
        self.runs_by_id = {}

    def handle(self, request):
        """Serve one request."""
        if request.path in COMPLETION_PATHS:
            return self._complete(request)
        if request.path.startswith("/v1/streams/"):
            return self._resume(request)
        if request.path == "/v1/cancel":
            return self._cancel(request)
        if request.path == "/load":
            return Answer(self._load())
        return Answer({"error": "unknown path"}, status=404)

    def _complete(self, request):
        body = msgspec.json.decode(request.body)
        chat = request.path == "/v1/chat/completions"
        sequence = self._sequence(request, body)
        self.sequences_by_id[sequence.id] = sequence
        runs = self.runs_by_id.get(sequence.id, 0)
        self.runs_by_id[sequence.id] = runs + 1
        self.batch.submit(sequence)
        if body.get("stream"):
            chunks = self._chunks(sequence, sequence.start, chat)
            return Answer(chunks, headers=self._headers(sequence, stream=True))
        while sequence.active:
            sequence.wait()
        if sequence.broken:
            return Answer({"error": "engine restarted"}, status=500)
        return Answer(_whole(sequence, chat), headers=self._headers(sequence))

    def _sequence(self, request, body):
        sequence = Sequence(
            request.header("X-Request-Id") or uuid4().hex,
            prompt_text(body),
            request.header("X-Cache-Scope"),
            body.get("model", ""),
            request.header("X-Model-Version") or self.options.version,
            int(request.header("X-Priority") or 0),
        )
        sequence.max_tokens = body.get("max_tokens") or 16
        continuation = body.get("continue_from")
        if continuation:
            sequence.start = continuation["tokens"]
        return sequence

    def _resume(self, request):
        sequence = self.sequences_by_id.get(request.path.split("/")[3])
        start = int(request.query.get("from", 0))
        if sequence is None or start < sequence.start:
            return Answer({"error": "unknown stream"}, status=404)
        chat = request.query.get("chat", "1") == "1"
        chunks = self._chunks(sequence, start, chat)
        return Answer(chunks, headers=self._headers(sequence, stream=True))

    def _cancel(self, request):
        sequence = self.sequences_by_id.get(msgspec.json.decode(request.body)["id"])
        if sequence is None:
            return Answer({"cancelled": False}, status=404)
        sequence.finish("cancelled")
        return Answer({"cancelled": True})

    def _chunks(self, sequence, index, chat):
        yield b": accepted\n\n"
        while True:
            while index < sequence.next_index:
                text = sequence.tokens[index - sequence.start]
                yield _event(index, _chunk(sequence, text, chat))
                index += 1
            if sequence.broken:
                raise ConnectionError("engine restarted")
            if sequence.finish_reason:
                break
            sequence.wait()
        yield _event(index, _last_chunk(sequence, chat))
        yield b"data: [DONE]\n\n"

    def _headers(self, sequence, stream=False):
        headers = [
            ("X-Request-Id", sequence.id),
            ("X-Incarnation", self.incarnation),
            ("X-Model-Version", sequence.version),
            ("X-Load", msgspec.json.encode(self._load()).decode()),
        ]
        if stream:
            headers.append(("Content-Type", "text/event-stream"))
        return headers

    def _load(self):
        queued = self.batch.queued
        return {
            "incarnation": self.incarnation,
            "time": self.clock.wall(),
            "running": len(self.batch.running),
            "queued": len(queued),
            "queued_tokens": sum(sequence.prompt_tokens for sequence in queued),
            "slots": self.options.slots,
            "models": {},
            "cached_tokens": self.cache.tokens,
        }

    def _record(self, type, block):
        pass


def _event(index, document):
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(document))


def _chunk(sequence, text, chat):
    if chat:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    return _document(sequence, chat, choice, ".chunk")


def _last_chunk(sequence, chat):
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    choice |= {"delta": {}} if chat else {"text": ""}
    return _document(sequence, chat, choice, ".chunk") | {"usage": _usage(sequence)}


def _whole(sequence, chat):
    text = "".join(sequence.tokens)
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _document(sequence, chat, choice, "") | {"usage": _usage(sequence)}


def _document(sequence, chat, choice, suffix):
    return {
        "id": sequence.id,
        "object": f"chat.completion{suffix}" if chat else "text_completion",
        "created": 0,
        "model": sequence.model,
        "choices": [choice],
    }


def _usage(sequence):
    completion = sequence.next_index
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": sequence.prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def make_engine(options, clock=None):
    """Return the WSGI application of a new engine."""
    engine = Engine(options, clock)
    return make_app(engine.handle, engine.faults)


def main(
    address,
    *,
    block_tokens=2_000,
    cache_tokens=400_000,
    prefill_cost=0.05,
    token_time=20.0,
    slots=16,
    version="1",
    checks_fencing=False,
):
    """Run one engine.

    :param str address: host:port to listen on
    :param int block_tokens: tokens in one cached block
    :param int cache_tokens: tokens that the cache holds
    :param float prefill_cost: ms for each prompt token that is not cached
    :param float token_time: ms between tokens
    :param int slots: requests that run at once
    :param str version: version of the weights loaded at the start
    :param bool checks_fencing: refuse orders with an old fencing number
    """
    options = EngineOptions(
        block_tokens,
        cache_tokens,
        prefill_cost,
        token_time,
        slots,
        version,
        checks_fencing,
    )
    serve(address, make_engine(options))


if __name__ == "__main__":
    sys.exit(defopt.run(main, argv=sys.argv[1:] or ["127.0.0.1:0"]))
