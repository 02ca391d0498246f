"""One partition of the claims: a log stream with batched appends and a cache.

A router reads only the partitions in which it has calls, and each only as far back
as the current key needs. The number of cached records is bounded.
"""

from collections import deque

import msgspec

from mulberryhub.base.green import Event, Semaphore, sleep, spawn_n
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.orders.claim_state import (
    KEY_VALIDITY_MS,
    MAX_LOG_TIME_REGRESSION_MS,
    Entry,
)
from mulberryhub.orders.records import (
    Heartbeat,
    Result,
    decode_record,
    encode_record,
)

MAX_BATCH_RECORD_COUNT = 200
PAGE_RECORD_COUNT = 64  # first page read back; also the longest gap that is filled
MAX_PAGE_RECORD_COUNT = 500
MAX_SCAN_RECORD_COUNT = 20_000
APPEND_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 2_000
OFFSET_BEYOND_END = 2**53  # a read from here returns only the end of the stream


class HistoryExpired(Exception):
    """Raised where records that may concern a key have expired or are out of reach."""


class Partition:
    """The log stream `name`, with a cache of a contiguous range of its records.

    The cache holds the offsets from `_cache_start` up to, but not including,
    `_next_offset`, and at most `max_cached_records` between calls.
    """

    __slots__ = (
        "name",
        "_log",
        "_max_cached_records",
        "_cache_start",
        "_next_offset",
        "_entries",
        "_entries_by_key",
        "_pending",
        "_is_writing",
        "_read_lock",
    )

    def __init__(self, log, name, max_cached_records):
        self.name = name
        self._log = log
        self._max_cached_records = max_cached_records
        self._pending = []
        self._is_writing = False
        self._read_lock = Semaphore()
        self._reset_cache(None)

    def append(self, record):
        """Append a record and return its offset.

        Records of concurrent calls go into one request. Raise LogUnavailable when
        no answer came: the record may have been appended.
        """
        done = Event()
        self._pending.append((encode_record(record), done))
        if not self._is_writing:
            self._is_writing = True
            spawn_n(self._write_pending)
        return done.wait()

    def is_cached(self, key):
        """Return whether the cache holds records of `key`."""
        return key in self._entries_by_key

    def read_history(self, key, since_ms, last_offset=None):
        """Return all entries of `key` since a log time, in offset order.

        `since_ms` is a log time, or None for KEY_VALIDITY_MS before the newest record.
        The entries reach up to and including `last_offset`, or to the end of the
        stream. Raise HistoryExpired or LogUnavailable.
        """
        with self._read_lock:
            self._read_forward(last_offset)
            start_ms = self._window_start_ms() if since_ms is None else since_ms
            self._read_back(start_ms)
            entries = list(self._entries_by_key.get(key, ()))
            if since_ms is None:
                entries = [entry for entry in entries if entry.time_ms >= start_ms]
            self._trim_cache()
            return entries

    def _window_start_ms(self):
        newest_ms = self._entries[-1].time_ms if self._entries else 0
        return newest_ms - KEY_VALIDITY_MS - MAX_LOG_TIME_REGRESSION_MS

    def read_result(self, entry):
        """Return the whole Result of a cached entry, with its headers and body.

        Raise HistoryExpired or LogUnavailable.
        """
        try:
            page = self._log.read(self.name, entry.offset, 1, timeout=READ_TIMEOUT_MS)
        except OffsetExpired as error:
            raise HistoryExpired from error
        return decode_record(page.records[0].payload)

    def read_last_time_ms(self):
        """Return the log time of the last record, 0 where all records have expired.

        Return None for a stream that never had any. Raise LogUnavailable.
        """
        with self._read_lock:
            self._read_forward(None)
            self._trim_cache()
            if self._entries:
                return self._entries[-1].time_ms
            return 0 if self._cache_start else None

    def _write_pending(self):
        """Append pending records; those queued meanwhile go into the next batch."""
        while self._pending:
            sleep(0)
            batch = self._pending[:MAX_BATCH_RECORD_COUNT]
            del self._pending[:MAX_BATCH_RECORD_COUNT]
            self._write_batch(batch)
        self._is_writing = False

    def _write_batch(self, batch):
        payloads = [payload for payload, _ in batch]
        try:
            offsets = self._log.append(self.name, payloads, timeout=APPEND_TIMEOUT_MS)
        except Exception as error:
            for _, done in batch:
                done.send_exception(LogUnavailable(str(error)))
            return
        for offset, (_, done) in zip(offsets, batch):
            done.send(offset)

    def _reset_cache(self, start):
        self._cache_start = start
        self._next_offset = start
        self._entries = deque()
        self._entries_by_key = {}

    def _read_forward(self, last_offset):
        """Extend the cache to `last_offset`, or to the end of the stream if None.

        The cache is dropped where more than PAGE_RECORD_COUNT records are missing.
        """
        if last_offset is None:
            page = self._log.read(
                self.name, OFFSET_BEYOND_END, 1, timeout=READ_TIMEOUT_MS
            )
            last_offset = page.end - 1
        if (
            self._next_offset is None
            or last_offset - self._next_offset > PAGE_RECORD_COUNT
        ):
            self._reset_cache(max(0, last_offset + 1 - PAGE_RECORD_COUNT))
        while self._next_offset <= last_offset:
            self._read_page(last_offset)

    def _read_page(self, last_offset):
        limit = min(MAX_PAGE_RECORD_COUNT, last_offset + 1 - self._next_offset)
        try:
            page = self._log.read(
                self.name, self._next_offset, limit, timeout=READ_TIMEOUT_MS
            )
        except OffsetExpired as error:
            self._reset_cache(error.oldest)
            return
        if not page.records:
            raise LogUnavailable("a read returned no record below the log's end")
        for record in page.records:
            self._cache_after(record)

    def _cache_after(self, record):
        entry = _make_entry(record)
        self._entries.append(entry)
        self._next_offset = record.offset + 1
        if not isinstance(entry.record, Heartbeat):
            self._entries_by_key.setdefault(entry.record.key, []).append(entry)

    def _read_back(self, since_ms):
        """Extend the cache back to `since_ms`, in pages of increasing size."""
        count = PAGE_RECORD_COUNT
        while not self._reaches_back_to(since_ms):
            if self._next_offset - self._cache_start > MAX_SCAN_RECORD_COUNT:
                raise HistoryExpired
            self._read_page_back(count)
            count = min(MAX_PAGE_RECORD_COUNT, count * 2)

    def _reaches_back_to(self, since_ms):
        if self._cache_start == 0:
            return True
        return bool(self._entries) and self._entries[0].time_ms < since_ms

    def _read_page_back(self, count):
        end = self._cache_start
        start = max(0, end - count)
        try:
            page = self._log.read(
                self.name, start, end - start, timeout=READ_TIMEOUT_MS
            )
        except OffsetExpired as error:
            if error.oldest >= end:
                raise HistoryExpired from error
            self._read_page_back(end - error.oldest)
            return
        if not page.records or page.records[-1].offset != end - 1:
            raise LogUnavailable("a read returned fewer records than the log holds")
        for record in reversed(page.records):
            self._cache_before(record)

    def _cache_before(self, record):
        entry = _make_entry(record)
        self._entries.appendleft(entry)
        self._cache_start = record.offset
        if not isinstance(entry.record, Heartbeat):
            self._entries_by_key.setdefault(entry.record.key, []).insert(0, entry)

    def _trim_cache(self):
        while len(self._entries) > self._max_cached_records:
            entry = self._entries.popleft()
            self._cache_start = entry.offset + 1
            if not isinstance(entry.record, Heartbeat):
                self._remove_oldest_entry(entry.record.key)

    def _remove_oldest_entry(self, key):
        entries = self._entries_by_key[key]
        del entries[0]
        if not entries:
            del self._entries_by_key[key]


def _make_entry(record):
    """Return the cached form of a log record; a Result lacks its headers and body."""
    decoded = decode_record(record.payload)
    if isinstance(decoded, Result):
        decoded = msgspec.structs.replace(decoded, headers=[], body=None)
    return Entry(record.offset, record.time, decoded)
