"""Incremental parser of server-sent events."""


class Event:
    """A server-sent event: its id as text and its data as bytes."""

    __slots__ = ("id", "data")

    def __init__(self, id, data):
        self.id = id
        self.data = data


class EventParser:
    """Splits a byte stream into events; an incomplete event stays buffered."""

    __slots__ = ("_pending",)

    def __init__(self):
        self._pending = b""

    def feed(self, data):
        """Return the events that `data` completes; those without data are skipped."""
        blocks = (self._pending + data).split(b"\n\n")
        self._pending = blocks.pop()
        events = (_parse_event(block) for block in blocks)
        return [event for event in events if event is not None]


def _parse_event(block):
    id = ""
    data = None
    for line in block.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
        elif line.startswith(b"id: "):
            id = line[4:].decode()
    return None if data is None else Event(id, data)
