"""Decodes the events of an upstream's stream and rejects bytes that are no event.

An event is a line `id: NUMBER`, one or more lines `data: TEXT` and a blank line. An
adapter may name a field with a number that may come in a line before the id. Each line
ends with LF or CRLF, and the space behind the colon may be missing. Ids increase, from
0 or more. They are taken for counts of the answer's tokens, of which an event may hold
several.
"""

import re
from enum import Enum

from mulberryhub.base.ranges import parse_count
from mulberryhub.http.messages import ResponseMalformed

MAX_EVENT_BYTES = 262_144
STATUS_OK = 200
NO_EVENT_ID = -1  # before the first event
EVENT_STREAM_TYPE = b"text/event-stream"
ID = b"id"
DATA = b"data"
ID_AT_END = re.compile(rb"id: ?([0-9]{1,16})\r?\Z")


def is_event_stream(head):
    """Return whether an answer with the ResponseHead `head` is a stream of events.

    Without a declared type, it is one unless it has a length.
    """
    if head.status != STATUS_OK:
        return False
    content_type = head.headers.get(b"content-type")
    if content_type is None:
        return head.length is None
    return content_type.split(b";")[0].strip().lower() == EVENT_STREAM_TYPE


class InvalidEvent(ResponseMalformed):
    """An upstream sent bytes that are no event of the stream that it answers with."""


class LineKind(Enum):
    """The kinds of lines in an event, in their order."""

    BLANK = 0
    HEADER = 1
    ID = 2
    DATA = 3


# The kinds of lines that may come next, by that of the last one.
NEXT_KINDS = {
    LineKind.BLANK: (LineKind.HEADER, LineKind.ID),
    LineKind.HEADER: (LineKind.ID,),
    LineKind.ID: (LineKind.DATA,),
    LineKind.DATA: (LineKind.DATA, LineKind.BLANK),
}


class RawEvent:
    """The raw bytes of one event including its blank line, and its id."""

    __slots__ = ("data", "id")

    def __init__(self, data, id):
        self.data = data
        self.id = id


class EventDecoder:
    """Decodes the events of one run from pieces of any size.

    `header_name` is the field that may come before the id, None for none. `last_id` is
    the id of the event after which the run goes on, NO_EVENT_ID for none. `max_id` is
    the number of tokens that the answer may have, None if unknown.
    """

    __slots__ = (
        "_kind_by_name",
        "_last_id",
        "_id_before",
        "_max_id",
        "_last_kind",
        "_lines",
        "_line_bytes",
        "_open_line",
    )

    def __init__(self, header_name=None, last_id=NO_EVENT_ID, max_id=None):
        self._kind_by_name = {ID: LineKind.ID, DATA: LineKind.DATA}
        if header_name is not None:
            self._kind_by_name[header_name] = LineKind.HEADER
        self._last_id = last_id
        self._id_before = last_id
        self._max_id = max_id
        self._last_kind = LineKind.BLANK
        self._lines = []  # of the event that is not complete yet
        self._line_bytes = 0
        self._open_line = bytearray()

    @property
    def open_bytes(self):
        """Return the number of bytes of the incomplete event that are held."""
        return self._line_bytes + len(self._open_line)

    @property
    def is_inside_event(self):
        """Return whether the bytes so far end inside an event."""
        return bool(self.open_bytes)

    def feed(self, data):
        """Return the RawEvents that `data` completes.

        Raise InvalidEvent for bytes that are no event; none of `data` may be used then.
        """
        events = []
        *lines, open_line = data.split(b"\n")
        for line in lines:
            event = self._take_line(bytes(self._open_line) + line)
            self._open_line.clear()
            if event is not None:
                events.append(event)
        self._open_line += open_line
        self._check_open_line()
        return events

    def _take_line(self, line):
        """Return the event that the complete line `line` ends, None if it ends none."""
        text = line.removesuffix(b"\r")
        kind = self._kind_of(text)
        if kind not in NEXT_KINDS[self._last_kind] or b"\r" in text:
            raise InvalidEvent("received a line that is no part of an event")
        self._check_value(kind, text)
        self._last_kind = kind
        self._lines.append(line + b"\n")
        self._line_bytes += len(line) + 1
        return self._complete() if kind is LineKind.BLANK else None

    def _kind_of(self, text):
        """Return the LineKind of a line without its end, None if it is of no kind."""
        if not text:
            return LineKind.BLANK
        name, colon, _ = text.partition(b":")
        return self._kind_by_name.get(name) if colon else None

    def _check_value(self, kind, text):
        if kind is LineKind.DATA:
            _check_text(text)
            self._check_joint()
        elif kind is not LineKind.BLANK:
            number = _parse_number(text)
            if kind is LineKind.ID:
                self._check_id(number)

    def _check_id(self, id):
        if id <= self._last_id:
            raise InvalidEvent("the id of an event is not greater than the last one")
        if self._max_id is not None and id > self._max_id:
            raise InvalidEvent("the id of an event exceeds the tokens of the answer")
        self._id_before = self._last_id
        self._last_id = id

    def _check_joint(self):
        """Raise InvalidEvent if an event was cut in its data and the next one follows.

        The line of the next one's id then ends the line of data that was cut.
        """
        if self._last_kind is not LineKind.DATA:
            return
        joint = ID_AT_END.search(self._lines[-1].removesuffix(b"\n"))
        if joint is not None and int(joint[1]) > self._id_before:
            raise InvalidEvent("received an event that goes on with another one")

    def _check_open_line(self):
        """Raise InvalidEvent if the incomplete line cannot become one of an event."""
        if self.open_bytes > MAX_EVENT_BYTES:
            raise InvalidEvent(f"event is larger than {MAX_EVENT_BYTES} bytes")
        if self._open_line and not self._may_become_line():
            raise InvalidEvent("received bytes that are no part of an event")

    def _may_become_line(self):
        next_kinds = NEXT_KINDS[self._last_kind]
        if self._open_line == b"\r":
            return LineKind.BLANK in next_kinds
        return any(
            (name + b":").startswith(bytes(self._open_line[: len(name) + 1]))
            for name, kind in self._kind_by_name.items()
            if kind in next_kinds
        )

    def _complete(self):
        lines, self._lines = self._lines, []
        self._line_bytes = 0
        return RawEvent(b"".join(lines), self._last_id)


def _parse_number(text):
    """Return the number behind the colon of a line, or raise InvalidEvent."""
    digits = text.partition(b":")[2].removeprefix(b" ")
    number = parse_count(digits)
    if number is None or digits != b"%d" % number:
        raise InvalidEvent("received an event with an invalid number")
    return number


def _check_text(text):
    if text.isascii():
        return
    try:
        text.decode()
    except UnicodeDecodeError as error:
        raise InvalidEvent("received an event that is not UTF-8") from error
