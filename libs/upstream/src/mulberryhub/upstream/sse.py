"""Parser of server-sent events that arrive in pieces of any size."""


class Event:
    """One event: its id as text and its data as bytes."""

    __slots__ = ("id", "data")

    def __init__(self, id, data):
        self.id = id
        self.data = data


class EventParser:
    """Splits bytes into events; a rest stays until the next piece."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Return the events that `data` completes; comments are dropped."""
        parts = (self._rest + data).split(b"\n\n")
        self._rest = parts.pop()
        events = (_parse(part) for part in parts)
        return [event for event in events if event is not None]


def _parse(part):
    id = ""
    data = None
    for line in part.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
        elif line.startswith(b"id: "):
            id = line[4:].decode()
    return None if data is None else Event(id, data)
