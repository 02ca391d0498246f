import pytest

from mulberryhub.upstream.sse import MAX_EVENT_BYTES, EventParser, MalformedEvent

STREAM = b': accepted\n\nid: 0\ndata: {"a"}\n\nid: 1\ndata: {"b"}\n\ndata: [DONE]\n\n'
EVENTS = [(0, b'{"a"}'), (1, b'{"b"}'), (None, b"[DONE]")]


def parse(parser, data):
    return [(event.id, event.data) for event in parser.feed(data)]


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_events_are_the_same_for_a_cut_at_each_byte_and_both_line_ends(line_end):
    data = STREAM.replace(b"\n", line_end)
    for cut in range(len(data) + 1):
        parser = EventParser()
        assert parse(parser, data[:cut]) + parse(parser, data[cut:]) == EVENTS


@pytest.mark.parametrize(
    "block",
    [
        b"data: {}",
        b"id: \ndata: {}",
        b"id\ndata: {}",
        b"id: 1",
        b"id: 1\ndata: {}\ndata: {}",
        b"id: 1\nid: 2\ndata: {}",
        b"id: 1\ndata: {}\nnoise",
        b"id: 1\ndata: {}\nevent: error",
        b"id: 1\ndata: {}\nretry: 1",
        b"id: -1\ndata: {}",
        b"id: +1\ndata: {}",
        b"id: 1_0\ndata: {}",
        b"id: 1 \ndata: {}",
        b"id:  1\ndata: {}",
        b"id: 01\ndata: {}",
        b"id: 99999999999\ndata: {}",
        b"id: x\ndata: {}",
        b"id: \xff\ndata: {}",
        b"id: \xd9\xa1\ndata: {}",
        b"id: 1\ndata: [DONE]",
        b"id 1\ndata: {}",
        b"\xef\xbb\xbfid: 1\ndata: {}",
        b"\x00\x01\x02",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2",
    ],
)
@pytest.mark.parametrize("before", [b"", b"id: 0\ndata: {}\n\n"])
def test_block_that_no_engine_sends_is_malformed(block, before):
    parser = EventParser()
    events = []
    with pytest.raises(MalformedEvent):
        for event in parser.feed(before + block + b"\n\nid: 2\ndata: {}\n\n"):
            events.append(event.id)
    assert events == [0][: len(before)]


@pytest.mark.parametrize("piece", [b"x", b"x" * 5_000, b"id: 1\ndata: "])
def test_event_without_an_end_is_malformed_once_it_is_too_long(piece):
    parser = EventParser()
    with pytest.raises(MalformedEvent):
        for _ in range(2 * MAX_EVENT_BYTES // len(piece)):
            assert list(parser.feed(piece)) == []
