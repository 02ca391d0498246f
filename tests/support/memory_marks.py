"""In-memory marks of software versions, with outages, late writes and reverts."""

from mulberryhub.fleet.software_marks import MarkListing
from mulberryhub.fleet.store import StoreUnavailable, position_of


class MemoryMarks:
    """The marks in the store; `late` collects writes that take effect on `run_late`."""

    def __init__(self):
        self.era = 0
        self.records = []
        self.is_unavailable = False
        self.is_late = False
        self.late = []
        self.reads = 0
        self.writes = 0

    @property
    def end(self):
        return position_of(self.era, len(self.records))

    def marks_by_key(self):
        marks_by_key = {}
        for mark, is_removed in self.records:
            marks_by_key[mark.key] = None if is_removed else mark
        return {key: mark for key, mark in marks_by_key.items() if mark is not None}

    def revert(self, lost_count):
        self.era += 1
        del self.records[max(0, len(self.records) - lost_count) :]

    def read(self):
        self.reads += 1
        self._check_available()
        return MarkListing(list(self.marks_by_key().values()), self.end)

    def put(self, marks):
        self._write(lambda: self._append(marks, False))

    def remove(self, mark, end):
        def write():
            if self.end != end:
                raise StoreUnavailable("the end differs")
            self._append([mark], True)

        self._write(write)

    def run_late(self):
        late, self.late = self.late, []
        for write in late:
            try:
                write()
            except StoreUnavailable:
                pass

    def _write(self, write):
        self.writes += 1
        self._check_available()
        if self.is_late:
            self.late.append(write)
            raise StoreUnavailable("no response")
        write()

    def _append(self, marks, is_removed):
        for mark in marks:
            stored = type(mark)(*mark.key, mark.is_closing, self.era)
            self.records.append((stored, is_removed))

    def _check_available(self):
        if self.is_unavailable:
            raise StoreUnavailable("unavailable")
