"""Client of model engines: opens, resumes and cancels streams."""

from urllib.parse import quote

import msgspec

from mulberryhub.base.green import spawn_n, urllib3
from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody
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
from mulberryhub.upstream.reader import READ_SIZE, SocketReader
from mulberryhub.upstream.sse import EventParser

CANCEL_TIMEOUT = 2_000  # ms
DROPPED_REASONS = frozenset({"abandoned", "cancelled"})
ERROR_LENGTH = 200  # bytes of an engine's error that are kept

errors = urllib3.exceptions
HTTPConnection = urllib3.connection.HTTPConnection
HTTPException = urllib3.connection.HTTPException


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

    `batch()` returns all that has arrived, so that it can be sent in one write.
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
        "_reader",
        "_decoder",
        "_first",
        "_parser",
        "_items",
        "_failure",
    )

    def __init__(self, client, upstream, call, connection, response):
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
        self._reader = SocketReader(connection.sock, call.idle_timeout)
        is_chunked = "chunked" in headers.get("Transfer-Encoding", "")
        self._decoder = ChunkDecoder() if is_chunked else None
        self._first = _take_buffered(response)
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
            items = self._decoded(self._parser.feed(self._read()))
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
        """Return the payload that has arrived; not empty before the body's end."""
        try:
            data = self._first or self._reader.read()
            self._first = b""
            payload = self._decoder.feed(data) if self._decoder else data
        except TimeoutError as error:
            self._discard()
            raise EngineSilent("no token within the timeout") from error
        except (OSError, MalformedBody) as error:
            self._discard()
            raise StreamCut(str(error)) from error
        if not data or (not payload and self._decoder.ended):
            self._discard()
            raise StreamCut("the stream ended without an end event")
        return payload

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
        self._discard()
        counts = Usage(usage.prompt_tokens, usage.completion_tokens, self.cached_tokens)
        return End(choice.finish_reason, counts)

    def _discard(self):
        """Close the connection, which is never used again."""
        self.ended = True
        self._reader.close()

    def close(self):
        """Cancel the request on the engine unless it has ended."""
        if self.ended:
            return
        self._discard()
        spawn_n(self._client.cancel, self._upstream, self.request_id)


class EngineClient:
    """Opens streams on engines, each on a connection of its own.

    So no request can fall to a pooled connection that has gone silent, and no
    answer to one that still carries another.
    """

    __slots__ = ("_counters",)

    def __init__(self, counters):
        self._counters = counters

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
        connection = _connect(upstream, call.connect_timeout)
        try:
            connection.sock.settimeout(call.idle_timeout / 1000)
            connection.request(
                method, path, body=data, headers=headers, preload_content=False
            )
            response = connection.getresponse()
            _check_answer(method, call, response)
            return EngineStream(self, upstream, call, connection, response)
        except TimeoutError as error:
            connection.close()
            raise EngineSilent("no answer within the timeout") from error
        except (HTTPException, errors.HTTPError, OSError) as error:
            connection.close()
            raise StreamCut(str(error)) from error
        except EngineFailure:
            connection.close()
            raise

    def cancel(self, upstream, request_id):
        """End the request on the engine; a failure is only counted."""
        data = msgspec.json.encode({"id": request_id})
        try:
            connection = _connect(upstream, CANCEL_TIMEOUT)
        except ConnectFailed:
            self._counters.add("upstream.cancel_failed")
            return
        try:
            connection.request("POST", "/v1/cancel", body=data)
            connection.getresponse()
        except (HTTPException, errors.HTTPError, OSError):
            self._counters.add("upstream.cancel_failed")
        finally:
            connection.close()


def _connect(upstream, timeout):
    """Return a new connection or raise ConnectFailed."""
    host, port = upstream.address.rsplit(":", 1)
    connection = HTTPConnection(host, int(port), timeout=timeout / 1000)
    try:
        connection.connect()
    except (errors.HTTPError, OSError) as error:
        connection.close()
        raise ConnectFailed(str(error)) from error
    return connection


def _check_answer(method, call, response):
    """Raise EngineFailure unless `response` is the answer to `call`."""
    if response.status == 404 and method == "GET":
        incarnation = response.headers.get("X-Incarnation", "")
        raise StreamUnknown("the engine does not keep this stream", incarnation)
    if response.status != 200:
        message = response.read(ERROR_LENGTH).decode(errors="replace")
        raise EngineRefused(response.status, message)
    if response.headers.get("X-Request-Id") != call.request_id:
        raise AnswerCrossed("answer to another request")
    version = response.headers.get("X-Model-Version", "")
    if version and call.model_version and version != call.model_version:
        raise WrongVersion(f"answer by version {version}")


def _take_buffered(response):
    """Return what has arrived behind the head of an answer, without waiting."""
    return response._fp.fp.peek(READ_SIZE)
