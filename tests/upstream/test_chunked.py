import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.upstream.chunked import ChunkDecoder, MalformedBody

MAX_ENDLESS_BYTES = 100_000


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


@pytest.mark.parametrize(
    "body",
    [
        b"-1\r\nx\r\n",
        b"+1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1_0\r\n%s\r\n" % (b"x" * 16),
        b" 1\r\nx\r\n",
        b"1 x\r\nx\r\n",
        b"\r\nx\r\n",
        b";a=b\r\nx\r\n",
        b"fffffffff\r\nx",
        b"1\nx\n0\n\n",
        b"1\r\nxx\r\n",
        b"1\r\nx1\r\nx\r\n",
        b"0\r\nxx\r\n",
        b"0\r\nno field\r\n\r\n",
        b"\x00\x01\xff\xfe\r\n",
    ],
)
def test_body_that_is_not_in_chunks_is_malformed(body):
    with pytest.raises(MalformedBody):
        ChunkDecoder().feed(body)
    with pytest.raises(MalformedBody):
        decoder = ChunkDecoder()
        for index in range(len(body)):
            decoder.feed(body[index : index + 1])


@pytest.mark.parametrize("piece", [b"1", b"1;extension", b"0\r\n", b"0\r\na: b\r\n"])
def test_endless_size_line_and_trailers_are_malformed(piece):
    decoder = ChunkDecoder()
    decoder.feed(piece)
    endless = b"1" if b"\r" not in piece else b"a: b\r\n"
    with pytest.raises(MalformedBody):
        for _ in range(MAX_ENDLESS_BYTES // len(endless)):
            decoder.feed(endless)


def test_payload_of_an_incomplete_chunk_is_not_held():
    decoder = ChunkDecoder()
    assert decoder.feed(b"ffffff\r\n") == b""
    for piece in [b"a" * 1_000, b"b", b"c" * 65_536]:
        assert decoder.feed(piece) == piece


def test_extensions_and_trailers_are_skipped():
    decoder = ChunkDecoder()
    assert (
        decoder.feed(b'2;a="b"\r\nxy\r\n1 \t;c\r\nz\r\n0\r\na: b\r\n\r\nrest') == b"xyz"
    )
    assert decoder.ended
