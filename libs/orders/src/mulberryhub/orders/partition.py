"""One partition of the claims: a stream of the log, with batched appends.

A router reads only the partitions in which it has calls, and there only as far
back as the key at hand needs. A bounded run of records is cached.
"""

from collections import deque

import msgspec

from mulberryhub.base.green import Event, Semaphore, sleep, spawn_n
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.orders.records import Mark, Result, decode_record, encode_record
from mulberryhub.orders.standing import KEY_WINDOW, MAX_LOG_STEP, Entry

BATCH_LIMIT = 200  # records
PAGE = 64  # records read back at first, or forward before the cache is dropped
MAX_PAGE = 500  # records
MAX_SCAN = 20_000  # records
APPEND_TIMEOUT = 2_000  # ms
READ_TIMEOUT = 2_000  # ms
BEYOND_END = 2**53  # offset


class HistoryExpired(Exception):
    """The records that may concern a key are not all there any more."""


class Partition:
    """The stream `name` with a cache of the offsets from `_first` to `_position`."""

    __slots__ = (
        "name",
        "_log",
        "_cached",
        "_first",
        "_position",
        "_entries",
        "_entries_by_key",
        "_pending",
        "_writing",
        "_reading",
    )

    def __init__(self, log, name, cached):
        self.name = name
        self._log = log
        self._cached = cached
        self._pending = []
        self._writing = False
        self._reading = Semaphore()
        self._reset(None)

    def append(self, record):
        """Append a record, together with those of concurrent calls; return its offset.

        Raise LogUnavailable when no answer came: it may have been appended.
        """
        done = Event()
        self._pending.append((encode_record(record), done))
        if not self._writing:
            self._writing = True
            spawn_n(self._write)
        return done.wait()

    def knows(self, key):
        """Return whether the cache holds records of `key`."""
        return key in self._entries_by_key

    def history(self, key, since, end=None):
        """Return the entries of `key` in offset order, all that the log took since.

        `since` is a log time in ms, or None for KEY_WINDOW before the newest
        record. The entries reach to the offset `end`, or to the end of the
        stream. Raise HistoryExpired, or LogUnavailable.
        """
        with self._reading:
            self._read_forward(end)
            start = self._window_start() if since is None else since
            self._read_back(start)
            entries = list(self._entries_by_key.get(key, ()))
            if since is None:
                entries = [entry for entry in entries if entry.time >= start]
            self._trim()
            return entries

    def _window_start(self):
        newest = self._entries[-1].time if self._entries else 0
        return newest - KEY_WINDOW - MAX_LOG_STEP

    def result(self, entry):
        """Read the whole Result of a cached entry.

        Raise HistoryExpired or LogUnavailable.
        """
        try:
            page = self._log.read(self.name, entry.offset, 1, timeout=READ_TIMEOUT)
        except OffsetExpired as error:
            raise HistoryExpired from error
        return decode_record(page.records[0].payload)

    def last_time(self):
        """Return the log time of the last record in ms, 0 where all have expired.

        Return None for a stream that never had any. Raise LogUnavailable.
        """
        with self._reading:
            self._read_forward(None)
            self._trim()
            if self._entries:
                return self._entries[-1].time
            return 0 if self._first else None

    def _write(self):
        """Append what is pending; what comes meanwhile goes into the next append."""
        while self._pending:
            sleep(0)
            batch = self._pending[:BATCH_LIMIT]
            del self._pending[:BATCH_LIMIT]
            self._write_batch(batch)
        self._writing = False

    def _write_batch(self, batch):
        payloads = [payload for payload, _ in batch]
        try:
            offsets = self._log.append(self.name, payloads, timeout=APPEND_TIMEOUT)
        except Exception as error:
            for _, done in batch:
                done.send_exception(LogUnavailable(str(error)))
            return
        for offset, (_, done) in zip(offsets, batch):
            done.send(offset)

    def _reset(self, first):
        self._first = first
        self._position = first
        self._entries = deque()
        self._entries_by_key = {}

    def _read_forward(self, end):
        if end is None:
            page = self._log.read(self.name, BEYOND_END, 1, timeout=READ_TIMEOUT)
            end = page.end - 1
        if self._position is None or end - self._position > PAGE:
            self._reset(max(0, end + 1 - PAGE))
        while self._position <= end:
            self._read_page(end)

    def _read_page(self, end):
        limit = min(MAX_PAGE, end + 1 - self._position)
        try:
            page = self._log.read(
                self.name, self._position, limit, timeout=READ_TIMEOUT
            )
        except OffsetExpired as error:
            self._reset(error.oldest)
            return
        if not page.records:
            raise LogUnavailable("the log does not show a record that it took")
        for record in page.records:
            self._add(record)

    def _add(self, record):
        entry = _entry(record)
        self._entries.append(entry)
        self._position = record.offset + 1
        if not isinstance(entry.record, Mark):
            self._entries_by_key.setdefault(entry.record.key, []).append(entry)

    def _read_back(self, since):
        count = PAGE
        while not self._reaches(since):
            if self._position - self._first > MAX_SCAN:
                raise HistoryExpired
            self._read_page_back(count)
            count = min(MAX_PAGE, count * 2)

    def _reaches(self, since):
        if self._first == 0:
            return True
        return bool(self._entries) and self._entries[0].time < since

    def _read_page_back(self, count):
        first = self._first
        start = max(0, first - count)
        try:
            page = self._log.read(self.name, start, first - start, timeout=READ_TIMEOUT)
        except OffsetExpired as error:
            if error.oldest >= first:
                raise HistoryExpired from error
            self._read_page_back(first - error.oldest)
            return
        if not page.records or page.records[-1].offset != first - 1:
            raise LogUnavailable("the log gave fewer records than it holds")
        for record in reversed(page.records):
            self._add_before(record)

    def _add_before(self, record):
        entry = _entry(record)
        self._entries.appendleft(entry)
        self._first = record.offset
        if not isinstance(entry.record, Mark):
            self._entries_by_key.setdefault(entry.record.key, []).insert(0, entry)

    def _trim(self):
        while len(self._entries) > self._cached:
            entry = self._entries.popleft()
            self._first = entry.offset + 1
            if not isinstance(entry.record, Mark):
                self._forget(entry.record.key)

    def _forget(self, key):
        entries = self._entries_by_key[key]
        del entries[0]
        if not entries:
            del self._entries_by_key[key]


def _entry(record):
    """Return the cached form of a log record: without the body of a result."""
    decoded = decode_record(record.payload)
    if isinstance(decoded, Result):
        decoded = msgspec.structs.replace(decoded, headers=[], body=None)
    return Entry(record.offset, record.time, decoded)
