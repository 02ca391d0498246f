"""Stream of tokens that an engine sends as the answer to one request."""

import re
from time import monotonic

from mulberryhub.base.green import spawn_n
from mulberryhub.upstream.chunked import MalformedBody
from mulberryhub.upstream.completion_chunks import MalformedChunk, decode_chunk
from mulberryhub.upstream.errors import (
    EngineFailure,
    EngineTimeout,
    ResponseMismatch,
    StreamInterrupted,
    StreamNotFound,
)
from mulberryhub.upstream.framing import body_decoder
from mulberryhub.upstream.messages import INCARNATION_PATTERN, StreamEnd, Token, Usage
from mulberryhub.upstream.reader import MAX_READ_BYTES, SocketReader
from mulberryhub.upstream.sse import DONE, EventParser, MalformedEvent

INCARNATION = re.compile(INCARNATION_PATTERN)
MAX_IDLE_BYTES = 1_048_576  # received without a token
ABORTED_FINISH_REASONS = frozenset({"abandoned", "cancelled"})


class EngineStream:
    """Iterator over `Token` items and a final `StreamEnd`.

    Raises EngineFailure if the stream ends in any other way. `read_available()` returns
    all items that have arrived, so that they can be sent in one write. `next_index` is
    the index of the next token and `cached_tokens` the number of cached prompt tokens,
    0 until the engine reports it.
    """

    __slots__ = (
        "request_id",
        "incarnation",
        "model_version",
        "cached_tokens",
        "next_index",
        "ended",
        "_client",
        "_is_chat",
        "_upstream",
        "_reader",
        "_decoder",
        "_initial_data",
        "_parser",
        "_pending_items",
        "_pending_failure",
        "_token_timeout_s",
        "_idle_bytes",
    )

    def __init__(self, client, upstream, request, connection, response):
        headers = response.headers
        self.request_id = request.request_id
        self.incarnation = incarnation_in(headers)
        self.model_version = headers.get("X-Model-Version", "")
        self.cached_tokens = 0
        self.next_index = request.delivered_tokens
        self.ended = False
        self._client = client
        self._is_chat = request.is_chat
        self._upstream = upstream
        self._decoder = body_decoder(headers)
        self._parser = EventParser()
        self._pending_items = []
        self._pending_failure = None
        self._token_timeout_s = request.first_token_timeout / 1000
        self._idle_bytes = 0
        self._reader = SocketReader(connection.sock, request.idle_timeout)
        try:
            self._initial_data = _peek_buffered(response)
        except OSError:
            self._reader.close()
            raise

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
        try:
            return self._wait_for_items()
        except EngineFailure as failure:
            self._pending_failure = failure
            self._reader.close()
            raise

    def _wait_for_items(self):
        started_at = monotonic()
        self._idle_bytes = 0
        while True:
            items = self._to_items(self._parser.feed(self._read_payload()))
            if items:
                return items
            self._check_progress(started_at)

    def _check_progress(self, started_at):
        """Raise EngineFailure if too much came, or for too long, without an item."""
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise StreamInterrupted("too many bytes without a token")
        if monotonic() - started_at > self._token_timeout_s:
            raise EngineTimeout("no token within the timeout")

    def _to_items(self, events):
        """Return the items of `events` up to the end of the stream.

        If a failure follows some items, the items are returned and the failure is
        raised by the next read.
        """
        items = []
        try:
            for event in events:
                item = self._to_item(event)
                if item is not None:
                    items.append(item)
                if self.ended:
                    break
        except (MalformedEvent, MalformedChunk) as error:
            self._pending_failure = StreamInterrupted(str(error))
        except EngineFailure as failure:
            self._pending_failure = failure
        if self._pending_failure is not None:
            self._reader.close()
            if not items:
                raise self._pending_failure
        return items

    def _read_payload(self):
        """Wait for data and return the payload in it.

        Raises EngineTimeout, or StreamInterrupted, also at the end of the body.
        """
        data = b""
        try:
            if not self._decoder.ended:
                data = self._initial_data or self._reader.read()
                self._initial_data = b""
                self._idle_bytes += len(data)
            payload = self._decoder.feed(data)
        except TimeoutError as error:
            raise EngineTimeout("no token within the timeout") from error
        except (OSError, MalformedBody) as error:
            raise StreamInterrupted(str(error)) from error
        if not data:
            raise StreamInterrupted("the stream ended without an end event")
        return payload

    def _to_item(self, event):
        """Return the Token or StreamEnd in `event`, or None for a repeated token."""
        if event.data == DONE:
            raise MalformedChunk("the stream ended without an end event")
        chunk = decode_chunk(event.data)
        if chunk.id != self.request_id:
            raise ResponseMismatch(f"chunk of another request: {chunk.id[:80]}")
        if chunk.usage is not None:
            self.cached_tokens = chunk.usage.prompt_tokens_details.cached_tokens
        if chunk.finish_reason is not None:
            return self._to_end(event.id, chunk)
        return self._to_token(event.id, chunk)

    def _to_token(self, index, chunk):
        text = chunk.text(self._is_chat)
        if text is None:
            raise MalformedChunk(f"token {index} has no text")
        if index < self.next_index:
            return None
        if index > self.next_index:
            raise StreamInterrupted(f"token {self.next_index} is missing")
        self.next_index += 1
        return Token(index, text)

    def _to_end(self, index, chunk):
        """Return the StreamEnd; its index and its usage count all tokens before."""
        if chunk.finish_reason in ABORTED_FINISH_REASONS:
            raise StreamNotFound(f"the engine ended it: {chunk.finish_reason}")
        usage = chunk.usage
        if usage is None or chunk.text(self._is_chat):
            raise MalformedChunk("the end has no usage, or a text")
        if {index, usage.completion_tokens} != {self.next_index}:
            raise MalformedChunk(f"the end does not follow token {self.next_index - 1}")
        self.ended = True
        self._reader.close()
        counts = Usage(usage.prompt_tokens, usage.completion_tokens, self.cached_tokens)
        return StreamEnd(chunk.finish_reason, counts)

    def close(self):
        """Cancel the request on the engine in the background, unless it has ended.

        The engine may go on with it after a failure, so that it is cancelled then too.
        """
        if self.ended:
            return
        self.ended = True
        self._reader.close()
        spawn_n(self._client.cancel, self._upstream, self.request_id)


def _peek_buffered(response):
    """Return the body bytes that arrived with the response head, without waiting."""
    return response._fp.fp.peek(MAX_READ_BYTES)


def incarnation_in(headers):
    """Return the engine's incarnation in `headers`, empty if there is none.

    Raises StreamInterrupted if it is malformed.
    """
    incarnation = headers.get("X-Incarnation", "")
    if INCARNATION.fullmatch(incarnation) is None:
        raise StreamInterrupted("the engine's incarnation is malformed")
    return incarnation
