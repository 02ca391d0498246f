import pytest
from hypothesis import given, strategies as st

from mulberryhub.forward.events import MAX_EVENT_BYTES, EventDecoder, InvalidEvent

HEADER = b"x-version"
STREAM = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-version: 7\nid:3\ndata: c\ndata:\n\n"
    b"id: 12\ndata: \xc3\xa9 \x00:\n\nid: 13\nda"
)
EVENT = b"x-version: 7\r\nid: 9\ndata: a\r\n\r\n"


def decode(*pieces, **options):
    """Return the events of a stream that arrives in `pieces`."""
    decoder = EventDecoder(HEADER, **options)
    return [event for piece in pieces for event in decoder.feed(piece)]


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_do_not_depend_on_how_the_stream_is_split(cuts):
    bounds = sorted({0, len(STREAM), *cuts})
    decoder = EventDecoder(HEADER)
    events = []
    for start, end in zip(bounds, bounds[1:]):
        events += decoder.feed(STREAM[start:end])
    assert [event.id for event in events] == [1, 2, 3, 12]
    assert b"".join(event.data for event in events) + b"id: 13\nda" == STREAM
    assert decoder.is_inside_event


@pytest.mark.parametrize("length", range(len(EVENT)))
def test_end_inside_an_event_is_told_from_an_end_behind_one(length):
    decoder = EventDecoder(HEADER)
    assert decoder.feed(EVENT[:length]) == []
    assert decoder.is_inside_event == bool(length)
    assert [event.data for event in decoder.feed(EVENT[length:])] == [EVENT]
    assert not decoder.is_inside_event


@pytest.mark.parametrize("length", range(1, len(b"junk: x\n\n")))
def test_bytes_that_cannot_become_an_event_are_rejected_at_once(length):
    with pytest.raises(InvalidEvent):
        decode(b"id: 1\ndata: a\n\n" + b"junk: x\n\n"[:length])


@given(st.binary(min_size=1, max_size=40), st.integers(0, len(EVENT)))
def test_what_is_decoded_is_a_series_of_whole_events_with_increasing_ids(junk, place):
    stream = b"id: 3\ndata: a\n\n" + EVENT[:place] + junk + EVENT[place:]
    try:
        events = decode(stream)
    except InvalidEvent:
        return
    ids = [event.id for event in events]
    assert ids == sorted(set(ids))
    for event in events:
        lines = event.data.replace(b"\r\n", b"\n").split(b"\n")
        assert lines[-2:] == [b"", b""]
        fields = [line.split(b":")[0] for line in lines[:-2]]
        assert fields[0] == b"id" or fields[:2] == [HEADER, b"id"]
        rest = fields[1:] if fields[0] == b"id" else fields[2:]
        assert set(rest) == {b"data"}


def test_first_event_may_have_the_id_zero():
    assert [event.id for event in decode(b"id: 0\ndata: a\n\n")] == [0]


@pytest.mark.parametrize("last_id, id", [(0, 0), (4, 4), (4, 3)])
def test_event_that_the_client_has_already_is_rejected(last_id, id):
    with pytest.raises(InvalidEvent):
        decode(b"id: %d\ndata: a\n\n" % id, last_id=last_id)


def test_event_beyond_the_tokens_of_the_answer_is_rejected():
    assert len(decode(b"id: 9\ndata: a\n\n", max_id=9)) == 1
    with pytest.raises(InvalidEvent):
        decode(b"id: 10\ndata: a\n\n", max_id=9)


def test_field_of_no_adapter_is_rejected():
    with pytest.raises(InvalidEvent):
        EventDecoder().feed(b"x-version: 7\nid: 1\ndata: a\n\n")


@pytest.mark.parametrize("piece", [b"x" * 1_000, b"\ndata: x"])
def test_event_without_end_is_rejected(piece):
    decoder = EventDecoder()
    decoder.feed(b"id: 1\ndata: ")
    with pytest.raises(InvalidEvent):
        for _ in range(MAX_EVENT_BYTES // len(piece) + 2):
            decoder.feed(piece)


def test_event_that_is_cut_in_its_data_is_not_joined_with_the_next_one():
    with pytest.raises(InvalidEvent):
        decode(b"id: 3\ndata: ab", b"id: 3\ndata: abc\n\n", last_id=2)


def test_text_of_several_lines_may_name_an_earlier_id():
    assert len(decode(b"id: 3\ndata: - id: 2\ndata:   name: x\n\n", last_id=2)) == 1
