"""An in-memory log that loses its newest records and gives out their offsets again."""

from mulberryhub.external.log import (
    LogRecord,
    LogUnavailable,
    OffsetExpired,
    RecordPage,
)
from mulberryhub.fleet.store import era_of, offset_of, position_of


class RevertingLog:
    """One stream; its offsets are positions, as those of the platform's store."""

    def __init__(self):
        self.era = 0
        self.payloads = []
        self.oldest = 0
        self.is_unavailable = False

    def revert(self, lost_count):
        self.era += 1
        del self.payloads[max(0, len(self.payloads) - lost_count) :]
        self.oldest = min(self.oldest, len(self.payloads))

    def trim(self):
        self.oldest = len(self.payloads)

    def append(self, stream, payloads):
        self._check_available()
        first = len(self.payloads)
        self.payloads += payloads
        return [position_of(self.era, first + index) for index in range(len(payloads))]

    def end(self, stream):
        self._check_available()
        return position_of(self.era, len(self.payloads))

    def read(self, stream, start, limit):
        self._check_available()
        oldest = position_of(self.era, self.oldest)
        if era_of(start) != self.era:
            raise OffsetExpired(oldest)
        if not self.oldest <= offset_of(start) <= len(self.payloads):
            raise OffsetExpired(oldest)
        first = offset_of(start)
        records = [
            LogRecord(start + index, 0, payload)
            for index, payload in enumerate(self.payloads[first : first + limit])
        ]
        return RecordPage(records, oldest, self.end(stream))

    def _check_available(self):
        if self.is_unavailable:
            raise LogUnavailable("unavailable")
