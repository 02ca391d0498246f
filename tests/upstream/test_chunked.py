import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody


def encode_chunks(payloads):
    chunks = [b"%x\r\n%s\r\n" % (len(payload), payload) for payload in payloads]
    return b"".join(chunks) + b"0\r\n\r\n"


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40)), st.integers(1, 50))
def test_payload_is_independent_of_the_piece_size(payloads, piece_size):
    decoder = ChunkDecoder()
    data = encode_chunks(payloads)
    pieces = [
        data[start : start + piece_size] for start in range(0, len(data), piece_size)
    ]
    assert not decoder.ended
    assert b"".join(map(decoder.feed, pieces)) == b"".join(payloads)
    assert decoder.ended


def test_body_without_chunk_size_is_malformed():
    with pytest.raises(MalformedBody):
        ChunkDecoder().feed(b"data: x\r\n\r\n")
