"""Client of model engines: opens, resumes and cancels token streams."""

from urllib.parse import quote

import msgspec

from mulberryhub.base.green import spawn_n, urllib3
from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineErrorResponse,
    EngineFailure,
    EngineTimeout,
    ResponseMismatch,
    StreamInterrupted,
    StreamNotFound,
    WrongVersion,
)
from mulberryhub.upstream.messages import EngineLoad, StreamEnd, Token, Usage
from mulberryhub.upstream.reader import MAX_READ_BYTES, SocketReader
from mulberryhub.upstream.sse import EventParser

CANCEL_TIMEOUT_MS = 2_000
ABORTED_FINISH_REASONS = frozenset({"abandoned", "cancelled"})
MAX_ERROR_BYTES = 200  # of an engine's error response that go into the message

urllib3_errors = urllib3.exceptions
HTTPConnection = urllib3.connection.HTTPConnection
HTTPException = urllib3.connection.HTTPException


class Delta(msgspec.Struct):
    """Incremental part of a chat message."""

    content: str = ""


class Choice(msgspec.Struct):
    """Incremental choice: `delta` in chat completions, `text` in text completions."""

    delta: Delta | None = None
    text: str = ""
    finish_reason: str | None = None


class PromptTokensDetails(msgspec.Struct):
    """Breakdown of the prompt tokens in the usage."""

    cached_tokens: int = 0


class CompletionUsage(msgspec.Struct):
    """Token usage in the JSON format of the engines."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails = msgspec.field(
        default_factory=PromptTokensDetails
    )


class CompletionChunk(msgspec.Struct):
    """One chunk of a streamed completion, in the JSON format of the engines."""

    id: str
    choices: list[Choice]
    usage: CompletionUsage | None = None


decode_chunk = msgspec.json.Decoder(CompletionChunk).decode
decode_load = msgspec.json.Decoder(EngineLoad).decode


class EngineStream:
    """Iterator over `Token` items and a final `StreamEnd`.

    Raises EngineFailure if the stream ends in any other way. `read_available()` returns
    all items that have arrived, so that they can be sent in one write. `next_index` is
    the index of the next token, `load` the EngineLoad in the response header, and
    `cached_tokens` the number of cached prompt tokens, 0 until the engine reports it.
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
        "_initial_data",
        "_parser",
        "_pending_items",
        "_pending_failure",
    )

    def __init__(self, client, upstream, request, connection, response):
        headers = response.headers
        self.request_id = request.request_id
        self.incarnation = headers.get("X-Incarnation", "")
        self.model_version = headers.get("X-Model-Version", "")
        self.load = decode_load(headers.get("X-Load", "{}"))
        self.cached_tokens = 0
        self.next_index = request.delivered_tokens
        self.ended = False
        self._client = client
        self._upstream = upstream
        self._reader = SocketReader(connection.sock, request.idle_timeout)
        is_chunked = "chunked" in headers.get("Transfer-Encoding", "")
        self._decoder = ChunkDecoder() if is_chunked else None
        self._initial_data = _peek_buffered(response)
        self._parser = EventParser()
        self._pending_items = []
        self._pending_failure = None

    def __iter__(self):
        return self

    def __next__(self):
        if not self._pending_items:
            self._pending_items = self._receive()
        return self._pending_items.pop(0)

    def read_available(self):
        """Return all items that have arrived; wait until there is at least one.

        Raises EngineFailure, or StopIteration after the end.
        """
        items = self._pending_items or self._receive()
        self._pending_items = []
        return items

    def _receive(self):
        if self._pending_failure is not None:
            raise self._pending_failure
        if self.ended:
            raise StopIteration
        items = []
        while not items:
            items = self._to_items(self._parser.feed(self._read_payload()))
        return items

    def _to_items(self, events):
        """Return the items of `events`.

        If a failure follows some items, the items are returned and the failure is
        raised by the next read.
        """
        items = []
        try:
            for event in events:
                item = self._to_item(event)
                if item is not None:
                    items.append(item)
        except EngineFailure as failure:
            self._pending_failure = failure
            if not items:
                raise
        return items

    def _read_payload(self):
        """Wait for data and return the payload of the chunks that it completes.

        Raises EngineTimeout, or StreamInterrupted, also at the end of the body.
        """
        try:
            data = self._initial_data or self._reader.read()
            self._initial_data = b""
            payload = self._decoder.feed(data) if self._decoder else data
        except TimeoutError as error:
            self._close_connection()
            raise EngineTimeout("no token within the timeout") from error
        except (OSError, MalformedBody) as error:
            self._close_connection()
            raise StreamInterrupted(str(error)) from error
        if not data or (not payload and self._decoder.ended):
            self._close_connection()
            raise StreamInterrupted("the stream ended without an end event")
        return payload

    def _to_item(self, event):
        if event.data == b"[DONE]":
            return None
        chunk = self._decode_chunk(event.data)
        if chunk.id != self.request_id:
            self._close_connection()
            raise ResponseMismatch(f"chunk of another request: {chunk.id}")
        if chunk.usage is not None:
            self.cached_tokens = chunk.usage.prompt_tokens_details.cached_tokens
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            return self._to_end(choice, chunk.usage or CompletionUsage())
        return self._to_token(int(event.id), choice)

    def _decode_chunk(self, data):
        try:
            return decode_chunk(data)
        except msgspec.DecodeError as error:
            self._close_connection()
            raise StreamInterrupted(f"malformed chunk: {error}") from error

    def _to_token(self, index, choice):
        if index < self.next_index:
            return None
        if index > self.next_index:
            self._close_connection()
            raise StreamInterrupted(f"token {self.next_index} is missing")
        self.next_index += 1
        text = choice.delta.content if choice.delta else choice.text
        return Token(index, text)

    def _to_end(self, choice, usage):
        if choice.finish_reason in ABORTED_FINISH_REASONS:
            self._close_connection()
            raise StreamNotFound(f"the engine ended it: {choice.finish_reason}")
        self._close_connection()
        counts = Usage(usage.prompt_tokens, usage.completion_tokens, self.cached_tokens)
        return StreamEnd(choice.finish_reason, counts)

    def _close_connection(self):
        """Mark the stream as ended and close its connection, which is not reused."""
        self.ended = True
        self._reader.close()

    def close(self):
        """Cancel the request on the engine in the background, unless it has ended."""
        if self.ended:
            return
        self._close_connection()
        spawn_n(self._client.cancel, self._upstream, self.request_id)


class EngineClient:
    """Opens streams on engines, each on a new connection.

    A pooled connection could be dead without notice, or could still carry the
    response to another request.
    """

    __slots__ = ("_counters",)

    def __init__(self, counters):
        self._counters = counters

    def open(self, upstream, request):
        """Send `request` to the engine `upstream` and return its EngineStream.

        The stream starts after the first `request.delivered_tokens` tokens. Raises
        EngineFailure.
        """
        body = {**request.body, "stream": True}
        body.pop("continue_from", None)
        if request.delivered_tokens:
            body["continue_from"] = {
                "text": request.delivered_text,
                "tokens": request.delivered_tokens,
            }
        path = "/v1/chat/completions" if request.is_chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Cache-Scope": request.cache_scope,
            "X-Model-Version": request.model_version,
            "X-Priority": str(request.priority),
        }
        data = msgspec.json.encode(body)
        return self._open_stream(upstream, request, "POST", path, data, headers)

    def resume(self, upstream, request):
        """Resume a stream that the engine still has, after the delivered tokens.

        Raises EngineFailure, in particular StreamNotFound if the engine does not have
        the stream.
        """
        chat = int(request.is_chat)
        stream_id = quote(request.request_id, safe="")
        path = f"/v1/streams/{stream_id}?from={request.delivered_tokens}&chat={chat}"
        return self._open_stream(upstream, request, "GET", path, None, {})

    def _open_stream(self, upstream, request, method, path, data, headers):
        connection = _connect(upstream, request.connect_timeout)
        try:
            connection.sock.settimeout(request.idle_timeout / 1000)
            connection.request(
                method, path, body=data, headers=headers, preload_content=False
            )
            response = connection.getresponse()
            _check_response(method, request, response)
            return EngineStream(self, upstream, request, connection, response)
        except TimeoutError as error:
            connection.close()
            raise EngineTimeout("no answer within the timeout") from error
        except (HTTPException, urllib3_errors.HTTPError, OSError) as error:
            connection.close()
            raise StreamInterrupted(str(error)) from error
        except EngineFailure:
            connection.close()
            raise

    def cancel(self, upstream, request_id):
        """Cancel the request on the engine; a failure is counted but not raised."""
        data = msgspec.json.encode({"id": request_id})
        try:
            connection = _connect(upstream, CANCEL_TIMEOUT_MS)
        except ConnectFailed:
            self._counters.add("upstream.cancel_failed")
            return
        try:
            connection.request("POST", "/v1/cancel", body=data)
            connection.getresponse()
        except (HTTPException, urllib3_errors.HTTPError, OSError):
            self._counters.add("upstream.cancel_failed")
        finally:
            connection.close()


def _connect(upstream, timeout):
    """Return a new connection, made within `timeout` ms, or raise ConnectFailed."""
    host, port = upstream.address.rsplit(":", 1)
    connection = HTTPConnection(host, int(port), timeout=timeout / 1000)
    try:
        connection.connect()
    except (urllib3_errors.HTTPError, OSError) as error:
        connection.close()
        raise ConnectFailed(str(error)) from error
    return connection


def _check_response(method, request, response):
    """Raise EngineFailure unless `response` is a successful response to `request`."""
    if response.status == 404 and method == "GET":
        incarnation = response.headers.get("X-Incarnation", "")
        raise StreamNotFound("the engine does not keep this stream", incarnation)
    if response.status != 200:
        message = response.read(MAX_ERROR_BYTES).decode(errors="replace")
        raise EngineErrorResponse(response.status, message)
    if response.headers.get("X-Request-Id") != request.request_id:
        raise ResponseMismatch("answer to another request")
    version = response.headers.get("X-Model-Version", "")
    if version and request.model_version and version != request.model_version:
        raise WrongVersion(f"answer by version {version}")


def _peek_buffered(response):
    """Return the body bytes that arrived with the response head, without waiting."""
    return response._fp.fp.peek(MAX_READ_BYTES)
