"""Chooses the decoder of a response's body by the response's headers."""

import re

from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody

CONTENT_LENGTH = re.compile("[0-9]{1,15}")


class LengthDecoder:
    """Decodes a body of a stated length; `ended` tells whether all of it came."""

    __slots__ = ("ended", "_bytes_left")

    def __init__(self, length):
        self.ended = length == 0
        self._bytes_left = length

    def feed(self, data):
        """Return the payload in `data`; what follows the end is dropped."""
        payload = data[: self._bytes_left]
        self._bytes_left -= len(payload)
        self.ended = self._bytes_left == 0
        return payload


class CloseDecoder:
    """Passes on a body that ends with its connection, so `ended` stays false."""

    __slots__ = ("ended",)

    def __init__(self):
        self.ended = False

    def feed(self, data):
        """Return `data`."""
        return data


def body_decoder(headers):
    """Return the decoder of the body of a response with `headers`.

    Raises MalformedBody if they state no framing that can be decoded.
    """
    coding = headers.get("Transfer-Encoding")
    length = headers.get("Content-Length")
    if coding is not None:
        if coding.lower() != "chunked" or length is not None:
            raise MalformedBody("the framing of the answer is ambiguous or unknown")
        return ChunkDecoder()
    if length is None:
        return CloseDecoder()
    if CONTENT_LENGTH.fullmatch(length) is None:
        raise MalformedBody("the length of the answer is malformed")
    return LengthDecoder(int(length))
