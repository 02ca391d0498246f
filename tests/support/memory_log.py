"""An in-memory log with the interface of the log client, for property tests."""

from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.external.log import (
    LogRecord,
    LogUnavailable,
    OffsetExpired,
    RecordPage,
)


class MemoryLog:
    """Streams of records held in memory, with faults and delays.

    `next_fault()` selects the fault of each append: "none"; "refused", which stores
    nothing; "late", which stores after the error; or "lost", which stores and then
    raises the error. `next_pause()` returns the delay of an operation in ms.
    """

    def __init__(self, clock, next_fault=lambda: "none", next_pause=lambda: 0):
        self.clock = clock
        self.next_fault = next_fault
        self.next_pause = next_pause
        self.records_by_stream = {}
        self.oldest = 0
        self.reads = 0

    def append(self, stream, payloads, timeout=0):
        sleep(self.next_pause() / 1000)
        fault = self.next_fault()
        if fault == "refused":
            raise LogUnavailable("refused")
        if fault == "late":
            spawn_n(self._append_later, stream, payloads)
            raise LogUnavailable("late")
        offsets = self.add(stream, payloads)
        if fault == "lost":
            raise LogUnavailable("lost")
        sleep(self.next_pause() / 1000)
        return offsets

    def read(self, stream, start, limit=500, wait=0, timeout=0):
        self.reads += 1
        sleep(self.next_pause() / 1000)
        if start < self.oldest:
            raise OffsetExpired(self.oldest)
        records = self.records_by_stream.get(stream, [])
        return RecordPage(records[start : start + limit], self.oldest, len(records))

    def end(self, stream):
        return len(self.records_by_stream.get(stream, []))

    def add(self, stream, payloads):
        records = self.records_by_stream.setdefault(stream, [])
        first = len(records)
        for index, payload in enumerate(payloads):
            records.append(LogRecord(first + index, self.clock.wall(), payload))
        return list(range(first, len(records)))

    def _append_later(self, stream, payloads):
        sleep(0.01)
        self.add(stream, payloads)
