"""Incremental decoder of the events in an engine's stream."""

import re

DONE = b"[DONE]"
MAX_EVENT_BYTES = 65_536
BLANK_LINE = re.compile(rb"\n\r?\n")
TOKEN_INDEX = re.compile(rb"0|[1-9][0-9]{0,9}")


class MalformedEvent(Exception):
    """The stream does not consist of events that engines send."""


class Event:
    """A server-sent event: its id, which is a token index, and its data as bytes.

    The event that ends a stream has the data DONE and the id None.
    """

    __slots__ = ("id", "data")

    def __init__(self, id, data):
        self.id = id
        self.data = data


class EventParser:
    """Splits a byte stream into events; an incomplete event stays buffered.

    An event has one `id` line with a token index and one `data` line, or the line
    `data: [DONE]` alone. Lines end with LF or CRLF. Comments are skipped.
    """

    __slots__ = ("_pending",)

    def __init__(self):
        self._pending = bytearray()

    def feed(self, data):
        """Yield the events that `data` completes.

        Raises MalformedEvent after the events before anything else.
        """
        for block in self._take_blocks(data):
            event = _parse_block(block)
            if event is not None:
                yield event
        if len(self._pending) > MAX_EVENT_BYTES:
            raise MalformedEvent("an event is too long")

    def _take_blocks(self, data):
        """Return the blocks before each blank line, and remove them."""
        pending = self._pending
        search_start = max(0, len(pending) - 2)
        pending += data
        blocks = []
        block_start = 0
        for blank_line in BLANK_LINE.finditer(pending, search_start):
            blocks.append(bytes(pending[block_start : blank_line.start()]))
            block_start = blank_line.end()
        del pending[:block_start]
        return blocks


def _parse_block(block):
    """Return the event in `block`, or None if it has only comments."""
    if len(block) > MAX_EVENT_BYTES:
        raise MalformedEvent("an event is too long")
    id = data = None
    for line in block.split(b"\n"):
        line = line.removesuffix(b"\r")
        if not line or line.startswith(b":"):
            continue
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and id is None:
            id = _parse_token_index(value)
        elif name == b"data" and data is None:
            data = value
        else:
            raise MalformedEvent(f"unexpected line: {line[:40]!r}")
    if (id is None) != (data is None or data == DONE):
        raise MalformedEvent("an event has no data or a wrong id")
    return None if data is None else Event(id, data)


def _parse_token_index(value):
    if TOKEN_INDEX.fullmatch(value) is None:
        raise MalformedEvent(f"an event's id is no token index: {value[:40]!r}")
    return int(value)
