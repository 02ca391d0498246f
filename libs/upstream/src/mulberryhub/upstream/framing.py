"""Chooses the decoder of a response's body by the response's headers."""

import re

from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody

CONTENT_LENGTH = re.compile("[0-9]{1,15}")


class LengthDecoder:
    """Decodes a body of a stated length.

    `ended` tells whether all of it came, `has_surplus` whether more did.
    """

    states_end = True
    __slots__ = ("ended", "has_surplus", "_bytes_left")

    def __init__(self, length):
        self.ended = length == 0
        self.has_surplus = False
        self._bytes_left = length

    def feed(self, data):
        """Return the payload in `data`; what follows the end is dropped."""
        payload = data[: self._bytes_left]
        self._bytes_left -= len(payload)
        self.ended = self._bytes_left == 0
        self.has_surplus = len(payload) < len(data)
        return payload


class CloseDecoder:
    """Passes on a body that ends with its connection, so that nothing follows it."""

    states_end = False
    __slots__ = ("ended", "has_surplus")

    def __init__(self):
        self.ended = False
        self.has_surplus = False

    def feed(self, data):
        """Return `data`, which is empty at the end."""
        self.ended = not data
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
