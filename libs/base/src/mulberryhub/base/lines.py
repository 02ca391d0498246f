"""Writes log records as JSON lines without blocking, and limits their rate.

A line is dropped if the pipe is full because its reader does not keep up, or if the
rate limit is exceeded. The number of dropped lines is logged with a later line.
"""

import os
import time

import msgspec

MAX_LINES_PER_S = 150
MAX_BURST_LINES = 600
UNLIMITED_LEVELS = ("WARNING", "ERROR", "CRITICAL")


class LineWriter:
    """A loguru sink that writes JSON lines to the file descriptor `fd`.

    The rate is limited by a token bucket; records of UNLIMITED_LEVELS are also written
    when it is empty. `dropped` is the number of lines dropped since the last report.
    """

    __slots__ = ("dropped", "_fd", "_tokens", "_refilled_at", "_unwritten")

    def __init__(self, fd):
        self.dropped = 0
        self._fd = fd
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        os.set_blocking(fd, False)

    def __call__(self, message):
        """Write the record of a loguru message."""
        record = message.record
        if not self._is_allowed(record["level"].name):
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._write({"message": "lines dropped", "count": dropped})
        self._write(_record_fields(record))

    def _is_allowed(self, level):
        """Use up a token, if any; return whether a line of `level` may be written."""
        now = time.monotonic()
        self._tokens = min(
            MAX_BURST_LINES,
            self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S,
        )
        self._refilled_at = now
        if self._tokens < 1:
            return level in UNLIMITED_LEVELS
        self._tokens -= 1
        return True

    def _write(self, fields):
        data = self._unwritten + msgspec.json.encode(fields) + b"\n"
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        # The rest of a partly written line goes before the next line.
        self._unwritten = data[written:]


def _record_fields(record):
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    fields.update(record["extra"])
    exception = record["exception"]
    if exception is not None:
        fields["exception"] = f"{exception.type.__name__}: {exception.value}"
        fields["at"] = _frame_locations(exception.traceback)
    return fields


def _frame_locations(traceback):
    """Return `file:line` for each frame of `traceback`, outermost first."""
    locations = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        locations.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return locations
