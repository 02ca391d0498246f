"""Splits a stream of server-sent events into whole events, kept as raw bytes."""

from mulberryhub.http.messages import AnswerBroken

MAX_EVENT = 262_144  # bytes


class RawEvent:
    """The bytes of one event with its blank line, and its id or None."""

    __slots__ = ("data", "id")

    def __init__(self, data, id):
        self.data = data
        self.id = id


class EventSplitter:
    """Gathers pieces of a stream; `rest` is what is not a whole event yet."""

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        """Return the events that `data` completes, or raise AnswerBroken."""
        buffer = self.rest + data
        events = []
        start = 0
        while True:
            end = _event_end(buffer, start)
            if end < 0:
                self.rest = buffer[start:]
                if len(self.rest) > MAX_EVENT:
                    raise AnswerBroken(f"an event of over {MAX_EVENT} bytes")
                return events
            raw = buffer[start:end]
            events.append(RawEvent(raw, _event_id(raw)))
            start = end


def _event_end(buffer, start):
    """Return the index after the blank line that ends an event, or -1."""
    ends = [
        index + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (index := buffer.find(mark, start)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
