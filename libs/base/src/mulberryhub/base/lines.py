"""Log lines as JSON objects, written without blocking and within a bound.

A line is dropped where the reader of standard output does not keep up, or where more
lines come than the bound allows; how many were dropped is said in a line later.
"""

import os
import time

import msgspec

RATE = 150  # lines per s
BURST = 600  # lines
ALWAYS = ("WARNING", "ERROR", "CRITICAL")  # levels that the rate does not bind


class LineWriter:
    """A sink for loguru that writes to the file descriptor `fd`."""

    __slots__ = ("dropped", "_fd", "_level", "_filled_at", "_rest")

    def __init__(self, fd):
        self.dropped = 0
        self._fd = fd
        self._level = BURST
        self._filled_at = time.monotonic()
        self._rest = b""
        os.set_blocking(fd, False)

    def __call__(self, message):
        """Write one message of loguru."""
        record = message.record
        if not self._has_room(record["level"].name):
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._write({"message": "lines dropped", "count": dropped})
        self._write(_fields(record))

    def _has_room(self, level):
        now = time.monotonic()
        self._level = min(BURST, self._level + (now - self._filled_at) * RATE)
        self._filled_at = now
        if self._level < 1:
            return level in ALWAYS
        self._level -= 1
        return True

    def _write(self, fields):
        data = self._rest + msgspec.json.encode(fields) + b"\n"
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        # A line that was cut by a full pipe is completed before the next.
        self._rest = data[written:]


def _fields(record):
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    fields.update(record["extra"])
    exception = record["exception"]
    if exception is not None:
        fields["exception"] = f"{exception.type.__name__}: {exception.value}"
        fields["at"] = _places(exception.traceback)
    return fields


def _places(traceback):
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        places.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return places
