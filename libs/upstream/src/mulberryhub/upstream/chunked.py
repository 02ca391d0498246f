"""Incremental decoder of the HTTP/1.1 chunked transfer coding."""

CRLF = b"\r\n"
MAX_SIZE_LINE_BYTES = 32


class MalformedBody(Exception):
    """The body does not follow the chunked transfer coding."""


class ChunkDecoder:
    """Decodes a chunked body that arrives in pieces of any size.

    `ended` tells whether the last chunk has been decoded.
    """

    __slots__ = ("ended", "_pending")

    def __init__(self):
        self.ended = False
        self._pending = b""

    def feed(self, data):
        """Return the payload of the chunks that `data` completes.

        Raises MalformedBody if a chunk has no valid size.
        """
        data = self._pending + data
        payload = []
        position = 0
        while not self.ended:
            end = data.find(CRLF, position)
            if end < 0:
                break
            size = _parse_size(data[position:end])
            start = end + 2
            if len(data) < start + size + 2:
                break
            payload.append(data[start : start + size])
            position = start + size + 2
            self.ended = size == 0
        self._pending = data[position:]
        return b"".join(payload)


def _parse_size(line):
    try:
        return int(line[:MAX_SIZE_LINE_BYTES].split(b";", 1)[0], 16)
    except ValueError as error:
        raise MalformedBody("a chunk has no size") from error
