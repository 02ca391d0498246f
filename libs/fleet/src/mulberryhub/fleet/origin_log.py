"""Reads and writes the log of the versions on which streams began."""

from collections import deque

import msgspec

from mulberryhub.base.green import Event
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.begun_streams import StreamBatch
from mulberryhub.fleet.store import HistoryLost, StoreUnavailable, era_of

MAX_PAGE_COUNT = 100

log = module_logger(__name__)


class ReadBatch:
    """A StreamBatch that was read at `at` (ms)."""

    __slots__ = ("batch", "at")

    def __init__(self, batch, at):
        self.batch = batch
        self.at = at


class OriginLog:
    """The streams that all routers told; `client` reads and writes their records.

    It has `append(payloads)`, which returns a position, and `read(position)`, which
    returns a page: `records` and the `end` of the log. Both raise StoreUnavailable, as
    the methods here do, and `read` also HistoryLost. `on_lost()` is called if the log
    came back from an older copy.
    """

    __slots__ = (
        "_client",
        "_on_lost",
        "_clock",
        "_batches",
        "_position",
        "_era",
        "_running_read",
        "_next_read",
    )

    def __init__(self, client, on_lost, clock):
        self._client = client
        self._on_lost = on_lost
        self._clock = clock
        self._batches = deque()
        self._position = 0
        self._era = None
        self._running_read = None
        self._next_read = None

    def append(self, batches):
        """Append StreamBatches."""
        payloads = [msgspec.msgpack.encode(batch) for batch in batches]
        self._record_era(self._client.append(payloads))

    def software_versions(self, service, digest):
        """Return the versions on which a stream began, as far as it has been read."""
        return {
            item.batch.software_version
            for item in self._batches
            if item.batch.service == service and item.batch.has(digest)
        }

    def read_new(self):
        """Read what was appended before this call; callers at one time share reads.

        A read goes on if the callers that wait for it give up.
        """
        if self._next_read is None:
            self._next_read = Event()
        read = self._next_read
        if self._running_read is None:
            self._start_next_read()
        error = read.wait()
        if error is not None:
            raise StoreUnavailable(str(error)) from error

    def forget_before(self, oldest):
        """Drop what was read before `oldest` (ms)."""
        while self._batches and self._batches[0].at < oldest:
            self._batches.popleft()

    def _start_next_read(self):
        self._running_read, self._next_read = self._next_read, None
        spawn_task(self._run_read, self._running_read)

    def _run_read(self, read):
        error = None
        try:
            self._read_pages()
        except StoreUnavailable as failure:
            error = failure
        finally:
            self._running_read = None
            read.send(error)
            if self._next_read is not None:
                self._start_next_read()

    def _read_pages(self):
        for _ in range(MAX_PAGE_COUNT):
            page = self._read_page()
            for payload in page.records:
                self._apply(payload)
            if not page.records or self._position >= page.end:
                return

    def _read_page(self):
        """Return the next page; the streams in expired records stay unknown."""
        try:
            return self._client.read(self._position)
        except HistoryLost as error:
            self._record_era(error.first)
            self._position = error.first
        try:
            return self._client.read(self._position)
        except HistoryLost as error:
            raise StoreUnavailable(str(error)) from error

    def _apply(self, payload):
        self._position += 1
        try:
            batch = msgspec.msgpack.decode(payload, type=StreamBatch)
        except msgspec.DecodeError as error:
            log.warning(
                "unreadable stream origins",
                offset=self._position - 1,
                reason=str(error),
            )
            return
        self._batches.append(ReadBatch(batch, self._clock.now()))

    def _record_era(self, position):
        era = era_of(position)
        if self._era is not None and era > self._era:
            log.warning("stream origins lost", era_before=self._era, era=era)
            self._on_lost()
        self._era = era if self._era is None else max(era, self._era)
