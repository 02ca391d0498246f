"""Incremental decoder of the HTTP/1.1 chunked transfer coding."""

import re

from mulberryhub.base.green import urllib3

HTTPException = urllib3.connection.HTTPException

CRLF = b"\r\n"
MAX_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8_192
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
TRAILER_LINE = re.compile(rb"[^:\s]+:[^\r\n]*\r\n")

# What the next line of the body is.
SIZE, CHUNK_END, TRAILER = range(3)


class MalformedBody(HTTPException):
    """The body is not framed as HTTP requires."""


class ChunkDecoder:
    """Decodes a chunked body that arrives in pieces of any size.

    `ended` tells whether the end of the body has been decoded, and `has_surplus`
    whether there were bytes behind it. Only an incomplete line is held. Extensions and
    trailers are skipped. `states_end` of a decoder tells whether the body states its
    end, which is the end of the connection otherwise.
    """

    states_end = True
    __slots__ = (
        "ended",
        "has_surplus",
        "_pending",
        "_payload_left",
        "_next_line",
        "_trailer_bytes",
    )

    def __init__(self):
        self.ended = False
        self.has_surplus = False
        self._pending = b""
        self._payload_left = 0
        self._next_line = SIZE
        self._trailer_bytes = 0

    def feed(self, data):
        """Return the payload in `data`; what follows the end is dropped.

        Raises MalformedBody if the body is not in chunks.
        """
        data = self._pending + data
        payload = []
        position = 0
        while not self.ended:
            if self._payload_left:
                part = data[position : position + self._payload_left]
                if not part:
                    break
                payload.append(part)
                self._payload_left -= len(part)
                position += len(part)
            else:
                end = data.find(b"\n", position, position + MAX_LINE_BYTES)
                if end < 0:
                    break
                self._process_line(data[position : end + 1])
                position = end + 1
        rest = data[position:]
        if self.ended:
            self.has_surplus = bool(rest)
            return b"".join(payload)
        self._pending = rest
        if len(rest) >= MAX_LINE_BYTES:
            raise MalformedBody("a line between chunks is too long")
        return b"".join(payload)

    def _process_line(self, line):
        if self._next_line == SIZE:
            size = _parse_size(line)
            self._payload_left = size
            self._next_line = CHUNK_END if size else TRAILER
        elif self._next_line == CHUNK_END:
            if line != CRLF:
                raise MalformedBody("a chunk is longer than its size")
            self._next_line = SIZE
        else:
            self._process_trailer(line)

    def _process_trailer(self, line):
        self._trailer_bytes += len(line)
        if line == CRLF:
            self.ended = True
        elif TRAILER_LINE.fullmatch(line) is None:
            raise MalformedBody("a trailer is malformed")
        elif self._trailer_bytes > MAX_TRAILER_BYTES:
            raise MalformedBody("the trailers are too long")


def _parse_size(line):
    match = SIZE_LINE.fullmatch(line)
    if match is None:
        raise MalformedBody("a chunk has no size")
    return int(match[1], 16)
