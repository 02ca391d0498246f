import pytest
from hypothesis import given, strategies as st

from mulberryhub.forward.events import MAX_EVENT_BYTES, EventSplitter
from mulberryhub.http.messages import ResponseBroken

STREAM = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid:3\ndata: c\n\nid: 4\nda"
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_do_not_depend_on_how_the_stream_is_split(cuts):
    bounds = sorted({0, len(STREAM), *cuts})
    splitter = EventSplitter()
    events = []
    for start, end in zip(bounds, bounds[1:]):
        events += splitter.feed(STREAM[start:end])
    assert [event.id for event in events] == [b"1", b"2", None, b"3"]
    assert b"".join(event.data for event in events) + splitter.remainder == STREAM
    assert splitter.remainder == b"id: 4\nda"


def test_event_without_end_is_rejected():
    splitter = EventSplitter()
    with pytest.raises(ResponseBroken):
        for _ in range(MAX_EVENT_BYTES // 1_000 + 2):
            splitter.feed(b"x" * 1_000)
