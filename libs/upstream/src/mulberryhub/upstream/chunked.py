"""Framing of a body with chunked transfer coding that arrives in pieces."""

SEPARATOR = b"\r\n"
MAX_SIZE_LINE = 32  # bytes


class MalformedBody(Exception):
    """The body does not follow the chunked transfer coding."""


class ChunkDecoder:
    """Returns the payload of a chunked body piece by piece.

    `ended` tells whether the last chunk has come.
    """

    __slots__ = ("ended", "_rest")

    def __init__(self):
        self.ended = False
        self._rest = b""

    def feed(self, data):
        """Return the payload of the chunks that `data` completes."""
        data = self._rest + data
        payload = []
        position = 0
        while not self.ended:
            end = data.find(SEPARATOR, position)
            if end < 0:
                break
            size = _size(data[position:end])
            start = end + 2
            if len(data) < start + size + 2:
                break
            payload.append(data[start : start + size])
            position = start + size + 2
            self.ended = size == 0
        self._rest = data[position:]
        return b"".join(payload)


def _size(line):
    try:
        return int(line[:MAX_SIZE_LINE].split(b";", 1)[0], 16)
    except ValueError as error:
        raise MalformedBody("a chunk has no size") from error
