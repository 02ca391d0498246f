"""Stand-in for a model engine with batching, a prefix cache, streams and faults.

Run `python -m mulberryhub.standins.engine HOST:PORT`; `--help` lists the options.
`GET /report` returns the requests, runs and orders that the engine received.
"""

import sys
from collections import OrderedDict, deque
from uuid import uuid4

import defopt
import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.engine_batch import Batch, EngineOptions, Sequence
from mulberryhub.standins.engine_cache import Block, PrefixCache
from mulberryhub.standins.engine_chunks import (
    final_chunk,
    sse_event,
    token_chunk,
    whole_answer,
)
from mulberryhub.standins.engine_control import CacheEvents, LoadReports, Weights
from mulberryhub.standins.engine_faults import Connections, EngineFaults
from mulberryhub.standins.engine_text import (
    answer_seed,
    prompt_text,
    token_text,
)
from mulberryhub.standins.server import Answer, make_app, serve, sleep_ms

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
STREAMS_PATH = "/v1/streams/"
MAX_SEQUENCES = 4_096
MAX_RECORDED_REQUESTS = 1_000
CROSSED_CHUNK_INDEX = 2


class Engine:
    """The HTTP interface of one engine; `options` is an EngineOptions."""

    __slots__ = (
        "options",
        "clock",
        "faults",
        "incarnation",
        "cache",
        "batch",
        "weights",
        "cache_events",
        "load_reports",
        "connections",
        "sequences_by_id",
        "runs_by_id",
        "headers",
        "totals_by_name",
    )

    def __init__(self, options, clock=None):
        self.options = options
        self.clock = clock or Clock()
        self.faults = EngineFaults()
        self.faults.actions_by_name["restart_empty"] = self._restart_empty
        self.faults.actions_by_name["silence"] = self._silence_connections
        self.incarnation = uuid4().hex
        self.cache_events = CacheEvents(
            self.clock, options.event_delay, options.event_gap
        )
        self.cache = PrefixCache(options.cache_tokens, self.cache_events.record)
        self.batch = Batch(options, self.cache, self.faults, self.clock)
        self.weights = Weights(
            options.version, options.checks_fencing, options.load_time
        )
        self.load_reports = LoadReports(
            self._measure_load, self.clock, options.load_lag
        )
        self.connections = Connections()
        self.sequences_by_id = OrderedDict()
        self.runs_by_id = {}
        self.headers = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.totals_by_name = dict.fromkeys(
            ("runs", "cancelled", "resumed", "continued", "mismatched", "refused"), 0
        )

    def handle(self, request):
        """Return the Answer to one request."""
        connection = self.connections.register(request)
        self.connections.block_if_silenced(connection)
        if request.path in COMPLETION_PATHS:
            return self._serve_completion(request, connection)
        if request.path.startswith(STREAMS_PATH):
            return self._resume_stream(request, connection)
        handler = self._handlers_by_path().get(request.path)
        if handler is None:
            return Answer({"error": "unknown path"}, status=404)
        return handler(request)

    def _handlers_by_path(self):
        return {
            "/v1/cancel": self._cancel_sequence,
            "/load": lambda request: Answer(self.load_reports.current()),
            "/events": self._read_events,
            "/orders": self._accept_order,
            "/cache/export": self._export_cache,
            "/cache/import": self._import_cache,
            "/report": self._report_observations,
        }

    def _serve_completion(self, request, connection):
        self.headers.append([list(pair) for pair in request.environ["headers_raw"]])
        body = msgspec.json.decode(request.body)
        sequence = self._create_sequence(request, body)
        if sequence.version != self.weights.version(sequence.model):
            self.totals_by_name["refused"] += 1
            return Answer({"error": "another version is loaded"}, status=409)
        sleep_ms(self.faults.get("late", 0))
        self._start_sequence(sequence)
        chat = request.path == "/v1/chat/completions"
        if body.get("stream"):
            return self._stream_answer(sequence, sequence.start_index, chat, connection)
        sequence.readers += 1
        while sequence.active:
            sequence.wait()
        if sequence.aborted:
            return Answer({"error": "engine restarted"}, status=500)
        return Answer(
            whole_answer(sequence, chat), headers=self._answer_headers(sequence)
        )

    def _create_sequence(self, request, body):
        model = body.get("model", "")
        sequence = Sequence(
            request.header("X-Request-Id") or uuid4().hex,
            prompt_text(body),
            request.header("X-Cache-Scope"),
            model,
            request.header("X-Model-Version") or self.weights.version(model),
            int(request.header("X-Priority") or 0),
        )
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        sequence.max_tokens = limit or 256
        continuation = body.get("continue_from")
        if continuation:
            self._apply_continuation(sequence, continuation)
        return sequence

    def _apply_continuation(self, sequence, continuation):
        sequence.start_index = continuation["tokens"]
        seed = answer_seed(sequence.prompt)
        text = "".join(token_text(seed, index) for index in range(sequence.start_index))
        self.totals_by_name["continued"] += 1
        if text != continuation["text"]:
            self.totals_by_name["mismatched"] += 1

    def _start_sequence(self, sequence):
        self.totals_by_name["runs"] += 1
        self.runs_by_id[sequence.id] = self.runs_by_id.get(sequence.id, 0) + 1
        self.sequences_by_id[sequence.id] = sequence
        if len(self.sequences_by_id) > MAX_SEQUENCES:
            oldest_id, _ = self.sequences_by_id.popitem(last=False)
            self.runs_by_id.pop(oldest_id, None)
        sequence.last_read_at = self.clock.now()
        self.batch.submit(sequence)

    def _stream_answer(self, sequence, start, chat, connection):
        if self.faults.consume("crossed"):
            sequence = _foreign_answer()
            start = 0
        chunks = self._stream_chunks(sequence, start, chat, connection)
        headers = self._answer_headers(sequence)
        headers.append(("Content-Type", "text/event-stream"))
        return Answer(chunks, headers=headers)

    def _resume_stream(self, request, connection):
        sequence = self.sequences_by_id.get(request.path[len(STREAMS_PATH) :])
        start = int(request.query.get("from", 0))
        if sequence is None or sequence.aborted or start < sequence.start_index:
            headers = [("X-Incarnation", self.incarnation)]
            return Answer({"error": "unknown stream"}, status=404, headers=headers)
        self.totals_by_name["resumed"] += 1
        chat = request.query.get("chat", "1") == "1"
        return self._stream_answer(sequence, start, chat, connection)

    def _cancel_sequence(self, request):
        sequence = self.sequences_by_id.get(msgspec.json.decode(request.body)["id"])
        if sequence is None or not sequence.active:
            return Answer({"cancelled": False}, status=404)
        sequence.finish("cancelled")
        self.totals_by_name["cancelled"] += 1
        return Answer({"cancelled": True})

    def _stream_chunks(self, sequence, index, chat, connection):
        sequence.readers += 1
        try:
            yield b": accepted\n\n"
            for data in self._token_events(sequence, index, chat):
                self.connections.block_if_silenced(connection)
                yield data
        finally:
            sequence.readers -= 1
            sequence.last_read_at = self.clock.now()

    def _token_events(self, sequence, index, chat):
        cut_after = self.faults.get("cut_after")
        end = (
            index + cut_after
            if cut_after is not None and self.faults.consume("cuts")
            else None
        )
        crossed = self.faults.consume("crossed_chunks")
        while True:
            while index < sequence.next_index:
                if index == end:
                    raise ConnectionError("stream cut by the fault cut_after")
                if crossed and index == sequence.start_index + CROSSED_CHUNK_INDEX:
                    yield sse_event(
                        index, token_chunk(_foreign_answer(), " foreign", chat)
                    )
                text = sequence.tokens[index - sequence.start_index]
                yield sse_event(index, token_chunk(sequence, text, chat, index))
                index += 1
            if sequence.aborted:
                raise ConnectionError("engine restarted")
            if sequence.finish_reason:
                break
            sequence.wait()
        yield sse_event(index, final_chunk(sequence, chat))
        yield b"data: [DONE]\n\n"

    def _answer_headers(self, sequence):
        return [
            ("X-Request-Id", sequence.id),
            ("X-Incarnation", self.incarnation),
            ("X-Model-Version", sequence.version),
            ("X-Load", msgspec.json.encode(self.load_reports.current()).decode()),
        ]

    def _measure_load(self):
        queued = self.batch.queued
        return {
            "incarnation": self.incarnation,
            "time": self.clock.wall(),
            "running": len(self.batch.running),
            "queued": len(queued),
            "queued_tokens": sum(sequence.prompt_tokens for sequence in queued),
            "slots": self.options.slots,
            "models": self.weights.versions_by_model,
            "cached_tokens": self.cache.tokens,
        }

    def _read_events(self, request):
        start = int(request.query.get("from", 0))
        events = self.cache_events.read(start, int(request.query.get("wait", 0)))
        end = events[-1]["sequence"] + 1 if events else start
        answer = {"events": events, "next": end, "incarnation": self.incarnation}
        return Answer(answer)

    def _accept_order(self, request):
        if self.weights.apply_order(msgspec.json.decode(request.body)):
            return Answer({"accepted": True})
        return Answer({"error": "old fencing number"}, status=409)

    def _export_cache(self, request):
        blocks = self.cache.blocks(request.query.get("scope", ""))
        return Answer({"blocks": [block.to_document() for block in blocks]})

    def _import_cache(self, request):
        body = msgspec.json.decode(request.body)
        blocks = [Block(**document) for document in body["blocks"]]
        if any(block.scope != body["scope"] for block in blocks):
            self.cache.out_of_scope += 1
            return Answer({"error": "a block belongs to another scope"}, status=409)
        for block in blocks:
            self.cache.store(block)
        return Answer({"imported": len(blocks)})

    def _report_observations(self, request):
        return Answer(
            {
                "totals": self.totals_by_name,
                "runs": self.runs_by_id,
                "out_of_scope": self.cache.out_of_scope,
                "headers": list(self.headers),
                "running": len(self.batch.running),
                "queued": len(self.batch.queued),
                "loading": self.weights.loading,
                "orders": self.weights.accepted,
                "versions": self.weights.versions_by_model,
                "role": self.weights.role,
                "incarnation": self.incarnation,
                "cached_tokens": self.cache.tokens,
            }
        )

    def _restart_empty(self):
        self.incarnation = uuid4().hex
        self.batch.abort_all()
        self.cache.clear()
        self.sequences_by_id.clear()

    def _silence_connections(self):
        self.connections.silence()


def _foreign_answer():
    """Return a finished sequence that belongs to no request of the caller."""
    sequence = Sequence(uuid4().hex, "")
    sequence.tokens = [" foreign"] * 4
    sequence.finish_reason = "length"
    return sequence


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
    load_time=1_000,
    load_lag=0,
    event_delay=0,
    event_gap=0,
    orphan_timeout=10_000,
):
    """Serve one engine stand-in.

    :param str address: host:port to listen on
    :param int block_tokens: tokens in one cached block
    :param int cache_tokens: capacity of the prefix cache in tokens
    :param float prefill_cost: ms per prompt token that is not cached
    :param float token_time: ms per generated token
    :param int slots: maximum number of requests that run concurrently
    :param str version: version of the weights loaded at startup
    :param bool checks_fencing: reject orders with an outdated fencing token
    :param int load_time: ms that loading new weights takes
    :param int load_lag: ms by which load reports lag behind the actual load
    :param int event_delay: ms until a cache event can be read
    :param int event_gap: drop every event_gap-th cache event; 0 drops none
    :param int orphan_timeout: ms that generation continues without a reader
    """
    options = locals()
    del options["address"]
    serve(address, make_engine(EngineOptions(**options)))


if __name__ == "__main__":
    sys.exit(defopt.run(main, argv=sys.argv[1:] or ["127.0.0.1:0"]))
