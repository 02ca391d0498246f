"""Client of model engines: opens, resumes and cancels streams."""

from urllib.parse import quote

import msgspec

from mulberryhub.base.green import spawn_n, urllib3
from mulberryhub.upstream.errors import (
    AnswerCrossed,
    ConnectFailed,
    EngineFailure,
    EngineRefused,
    EngineSilent,
    StreamCut,
    StreamUnknown,
    WrongVersion,
)
from mulberryhub.upstream.messages import End, EngineLoad, Token, Usage
from mulberryhub.upstream.sse import EventParser

READ_SIZE = 65_536  # bytes
POOL_SIZE = 64  # connections kept for one engine
CANCEL_TIMEOUT = 2_000  # ms
DROPPED_REASONS = frozenset({"abandoned", "cancelled"})
ERROR_LENGTH = 200  # bytes of an engine's error that are kept

errors = urllib3.exceptions


class Delta(msgspec.Struct):
    """Piece of a chat message."""

    content: str = ""


class Choice(msgspec.Struct):
    """Piece of an answer in either completions interface."""

    delta: Delta | None = None
    text: str = ""
    finish_reason: str | None = None


class CachedDetails(msgspec.Struct):
    """Part of the usage."""

    cached_tokens: int = 0


class UsageDocument(msgspec.Struct):
    """Usage as engines write it."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: CachedDetails = msgspec.field(default_factory=CachedDetails)


class Chunk(msgspec.Struct):
    """One chunk of a streamed answer."""

    id: str
    choices: list[Choice]
    usage: UsageDocument | None = None


decode_chunk = msgspec.json.Decoder(Chunk).decode
decode_load = msgspec.json.Decoder(EngineLoad).decode


class EngineStream:
    """Iterator of `Token` and one `End`; raises EngineFailure on any other end.

    `ready()` returns what has already arrived, so that it can be sent in one write.
    """

    __slots__ = (
        "request_id",
        "incarnation",
        "model_version",
        "load",
        "cached_tokens",
        "next_index",
        "ended",
        "_client",
        "_upstream",
        "_response",
        "_parser",
        "_items",
        "_failure",
    )

    def __init__(self, client, upstream, call, response):
        headers = response.headers
        self.request_id = call.request_id
        self.incarnation = headers.get("X-Incarnation", "")
        self.model_version = headers.get("X-Model-Version", "")
        self.load = decode_load(headers.get("X-Load", "{}"))
        self.cached_tokens = 0
        self.next_index = call.tokens
        self.ended = False
        self._client = client
        self._upstream = upstream
        self._response = response
        self._parser = EventParser()
        self._items = []
        self._failure = None

    def __iter__(self):
        return self

    def __next__(self):
        if not self._items:
            self._items = self._receive()
        return self._items.pop(0)

    def batch(self):
        """Return the list of all items that have arrived, at least one."""
        items = self._items or self._receive()
        self._items = []
        return items

    def _receive(self):
        if self._failure is not None:
            raise self._failure
        if self.ended:
            raise StopIteration
        items = []
        while not items:
            events = self._parser.feed(self._read())
            items = self._decoded(events)
        return items

    def _decoded(self, events):
        """Return the items of `events`; a failure behind some of them is kept."""
        items = []
        try:
            for event in events:
                item = self._item(event)
                if item is not None:
                    items.append(item)
        except EngineFailure as failure:
            self._failure = failure
            if not items:
                raise
        return items

    def _read(self):
        try:
            data = self._response.read1(READ_SIZE)
        except errors.ReadTimeoutError as error:
            self._discard()
            raise EngineSilent("no token within the timeout") from error
        except (errors.HTTPError, OSError) as error:
            self._discard()
            raise StreamCut(str(error)) from error
        if not data:
            self._discard()
            raise StreamCut("the stream ended without an end event")
        return data

    def _item(self, event):
        if event.data == b"[DONE]":
            return None
        chunk = self._decode(event.data)
        if chunk.id != self.request_id:
            self._discard()
            raise AnswerCrossed(f"chunk of another request: {chunk.id}")
        if chunk.usage is not None:
            self.cached_tokens = chunk.usage.prompt_tokens_details.cached_tokens
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            return self._end(choice, chunk.usage or UsageDocument())
        return self._token(int(event.id), choice)

    def _decode(self, data):
        try:
            return decode_chunk(data)
        except msgspec.DecodeError as error:
            self._discard()
            raise StreamCut(f"malformed chunk: {error}") from error

    def _token(self, index, choice):
        if index < self.next_index:
            return None
        if index > self.next_index:
            self._discard()
            raise StreamCut(f"token {self.next_index} is missing")
        self.next_index += 1
        text = choice.delta.content if choice.delta else choice.text
        return Token(index, text)

    def _end(self, choice, usage):
        if choice.finish_reason in DROPPED_REASONS:
            self._discard()
            raise StreamUnknown(f"the engine ended it: {choice.finish_reason}")
        self.ended = True
        counts = Usage(usage.prompt_tokens, usage.completion_tokens, self.cached_tokens)
        spawn_n(self._drain)
        return End(choice.finish_reason, counts)

    def _drain(self):
        """Give the connection back once the rest of the answer was read."""
        try:
            self._response.drain_conn()
        except (errors.HTTPError, OSError):
            pass
        self._response.release_conn()

    def _discard(self):
        """Close the connection, so that it is never used again."""
        self.ended = True
        self._response.close()
        self._client.distrust(self._upstream)

    def close(self):
        """Cancel the request on the engine unless it has ended."""
        if self.ended:
            return
        self.ended = True
        self._response.close()
        spawn_n(self._client.cancel, self._upstream, self.request_id)


class EngineClient:
    """Opens streams on engines, with one pool of connections for each."""

    __slots__ = ("_counters", "_pools_by_address")

    def __init__(self, counters):
        self._counters = counters
        self._pools_by_address = {}

    def open(self, upstream, call):
        """Send `call` to the engine `upstream` and return its EngineStream.

        Raise EngineFailure.
        """
        body = {**call.body, "stream": True}
        body.pop("continue_from", None)
        if call.tokens:
            body["continue_from"] = {"text": call.text, "tokens": call.tokens}
        path = "/v1/chat/completions" if call.chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Cache-Scope": call.scope,
            "X-Model-Version": call.model_version,
            "X-Priority": str(call.priority),
        }
        data = msgspec.json.encode(body)
        return self._stream(upstream, call, "POST", path, data, headers)

    def resume(self, upstream, call):
        """Go on with a stream that the engine keeps, after `call.tokens` tokens.

        Raise EngineFailure; StreamUnknown where the engine does not keep it.
        """
        chat = int(call.chat)
        stream = quote(call.request_id, safe="")
        path = f"/v1/streams/{stream}?from={call.tokens}&chat={chat}"
        return self._stream(upstream, call, "GET", path, None, {})

    def _stream(self, upstream, call, method, path, data, headers):
        limits = urllib3.Timeout(
            connect=call.connect_timeout / 1000, read=call.idle_timeout / 1000
        )
        response = self._request(upstream, method, path, data, headers, limits)
        if response.status == 404 and method == "GET":
            response.release_conn()
            raise StreamUnknown("the engine does not keep this stream")
        if response.status != 200:
            message = response.read(ERROR_LENGTH).decode(errors="replace")
            response.close()
            raise EngineRefused(response.status, message)
        if response.headers.get("X-Request-Id") != call.request_id:
            response.close()
            self.distrust(upstream)
            raise AnswerCrossed("answer to another request")
        stream = EngineStream(self, upstream, call, response)
        version = stream.model_version
        if version and call.model_version and version != call.model_version:
            stream.close()
            raise WrongVersion(f"answer by version {version}")
        return stream

    def _request(self, upstream, method, path, data, headers, limits):
        try:
            return self._pool(upstream).urlopen(
                method,
                path,
                body=data,
                headers=headers,
                timeout=limits,
                retries=False,
                preload_content=False,
            )
        except (errors.NewConnectionError, errors.ConnectTimeoutError) as error:
            raise ConnectFailed(str(error)) from error
        except errors.ReadTimeoutError as error:
            self.distrust(upstream)
            raise EngineSilent("no answer within the timeout") from error
        except (errors.HTTPError, OSError) as error:
            self.distrust(upstream)
            raise StreamCut(str(error)) from error

    def cancel(self, upstream, request_id):
        """End the request on the engine; a failure is only counted."""
        data = msgspec.json.encode({"id": request_id})
        limits = urllib3.Timeout(total=CANCEL_TIMEOUT / 1000)
        pool = self._pool(upstream)
        try:
            pool.urlopen("POST", "/v1/cancel", body=data, timeout=limits, retries=False)
        except errors.HTTPError:
            self._counters.add("upstream.cancel_failed")

    def distrust(self, upstream):
        """Drop the idle connections to `upstream`, so that the next one is fresh."""
        pool = self._pools_by_address.pop(upstream.address, None)
        if pool is not None:
            pool.close()

    def _pool(self, upstream):
        pool = self._pools_by_address.get(upstream.address)
        if pool is None:
            host, port = upstream.address.rsplit(":", 1)
            pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=POOL_SIZE)
            self._pools_by_address[upstream.address] = pool
        return pool
