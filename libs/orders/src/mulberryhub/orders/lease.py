"""A lease in the platform's log; the offset of its record is the fencing token.

A record acquires the lease only if its `after` field is the offset directly before
its own: then no other record was appended between its writer's last read and its
append. Other routers wait for the lease duration plus a margin, counted from when
they read the last such record. The holder counts the duration from before its
append. Two routers therefore never hold the lease at the same time, unless their
clocks drift apart by more than the margin within one duration.

A holder is known by its name: a router that is started again under its name is the
holder that it was, and the lease of any other had ended when it acquired its own.
"""

from secrets import token_bytes

import msgspec

from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable, OffsetExpired

LEASE_DURATION_MS = 6_000
LEASE_MARGIN_MS = 1_000  # tolerated clock drift between routers in one duration
NONCE_BYTES = 12
PAGE_RECORD_COUNT = 100
MAX_SINCE_OTHER_MS = 3_600_000  # written where no lease of another router is known

logger = module_logger(__name__)


class LeaseRecord(msgspec.Struct, frozen=True):
    """A request for the lease.

    `after` is the last offset that its writer had read, `nonce` a random value that
    identifies the request. `since_other_ms` is the time in ms since the writer last
    read a lease of another router, 0 where the writer's software does not say.
    """

    holder: str
    nonce: bytes
    after: int
    since_other_ms: int = 0


class Lease:
    """The lease in the log stream `name`, as seen by the router `holder`.

    `duration_ms` is how long an acquisition is valid; other routers wait for
    `margin_ms` beyond it. `offset` is the offset of the last record that acquired
    the lease, -1 where none is known. `held_since_ms` is the monotonic time at which
    this router acquired the lease, None while it does not hold it.
    """

    __slots__ = (
        "offset",
        "held_since_ms",
        "_log",
        "_clock",
        "_counters",
        "_name",
        "_holder",
        "_duration_ms",
        "_margin_ms",
        "_next_offset",
        "_observed_ms",
        "_other_observed_ms",
        "_is_last_own",
        "_known_offset",
        "_known_ms",
        "_current_nonce",
        "_append_start_by_nonce",
        "_expiry_ms",
    )

    def __init__(
        self,
        log,
        clock,
        counters,
        name,
        holder,
        duration_ms=LEASE_DURATION_MS,
        margin_ms=LEASE_MARGIN_MS,
    ):
        self.offset = -1
        self.held_since_ms = None
        self._log = log
        self._clock = clock
        self._counters = counters
        self._name = name
        self._holder = holder
        self._duration_ms = duration_ms
        self._margin_ms = margin_ms
        self._next_offset = None
        self._observed_ms = None
        self._other_observed_ms = None
        self._is_last_own = False
        self._known_offset = None
        self._known_ms = None
        self._current_nonce = None
        self._append_start_by_nonce = {}
        self._expiry_ms = 0

    @property
    def is_held(self):
        """Return whether this router holds the lease now."""
        return (
            self._current_nonce in self._append_start_by_nonce
            and self._clock.now() < self._expiry_ms
        )

    @property
    def is_read(self):
        """Return whether this router has begun to read the log."""
        return self._next_offset is not None

    @property
    def wait_ms(self):
        """Return the ms for which other routers wait after the last acquisition."""
        return self._duration_ms + self._margin_ms

    @property
    def is_last_holder(self):
        """Return whether this router wrote the last record that acquired the lease.

        The lease may have expired since, and the router may have been restarted.
        """
        return self._is_last_own

    def has_other_expired_for(self, min_elapsed_ms):
        """Return whether the last lease of another router ended long enough ago.

        This is the case `min_elapsed_ms` after its expiry, with the margin, and where
        no lease of another router has been read.
        """
        if self._other_observed_ms is None:
            return True
        elapsed_ms = self._clock.now() - self._other_observed_ms
        return elapsed_ms >= self.wait_ms + min_elapsed_ms

    def note_record(self, offset):
        """Note that the log holds a record at `offset` now, as another router said.

        If it turns out to be the last that acquired the lease, it was read late.
        """
        if offset != self._known_offset:
            self._known_offset = offset
            self._known_ms = self._clock.now()

    def renew_or_acquire(self):
        """Read new records, then renew the lease, or acquire it where it has expired.

        An unavailable log is counted, not raised.
        """
        try:
            self._read()
            if self.is_last_holder or self._has_expired():
                self._append_request()
                self._read()
        except LogUnavailable:
            self._counters.add("retry.lease")
        self._report_change()

    def read_new_records(self):
        """Read new records without trying to acquire the lease.

        An unavailable log is counted, not raised.
        """
        try:
            self._read()
        except LogUnavailable:
            self._counters.add("retry.lease")

    def _has_expired(self):
        return self._clock.now() - self._observed_ms > self.wait_ms

    def _append_request(self):
        nonce = token_bytes(NONCE_BYTES)
        self._append_start_by_nonce[nonce] = self._clock.now()
        record = LeaseRecord(
            self._holder, nonce, self._next_offset - 1, self._since_other()
        )
        self._log.append(self._name, [msgspec.msgpack.encode(record)])

    def _since_other(self):
        if self._other_observed_ms is None:
            return MAX_SINCE_OTHER_MS
        return min(MAX_SINCE_OTHER_MS, self._clock.now() - self._other_observed_ms)

    def _read(self):
        """Apply all new records; on the first call, the last PAGE_RECORD_COUNT."""
        if self._next_offset is None:
            end = self._log.end(self._name)
            self._next_offset = max(0, end - PAGE_RECORD_COUNT)
            self._observed_ms = self._clock.now()
        while True:
            page = self._read_page()
            for record in page.records:
                self._apply(record)
            if self._next_offset >= page.end:
                return

    def _read_page(self):
        """Return the next page; skip records that the log no longer has.

        Another router's acquisition may be among them, so that the lease counts as
        taken now, unless this router holds it.
        """
        try:
            return self._log.read(self._name, self._next_offset, PAGE_RECORD_COUNT)
        except OffsetExpired as error:
            if not self.is_held:
                self._current_nonce = None
                self._is_last_own = False
                self._observed_ms = self._other_observed_ms = self._clock.now()
            self._next_offset = error.oldest
        try:
            return self._log.read(self._name, self._next_offset, PAGE_RECORD_COUNT)
        except OffsetExpired as error:
            raise LogUnavailable(str(error)) from error

    def _apply(self, record):
        self._next_offset = record.offset + 1
        try:
            request = msgspec.msgpack.decode(record.payload, type=LeaseRecord)
        except msgspec.DecodeError:
            return
        if request.after != record.offset - 1:
            return
        self.offset = record.offset
        self._current_nonce = request.nonce
        self._observed_ms = self._observation_time(record.offset)
        start_ms = self._append_start_by_nonce.get(request.nonce)
        self._append_start_by_nonce = (
            {} if start_ms is None else {request.nonce: start_ms}
        )
        self._expiry_ms = 0 if start_ms is None else start_ms + self._duration_ms
        if request.holder == self._holder:
            self._is_last_own = True
            self._limit_other_observed(request)
        else:
            self._is_last_own = False
            self._other_observed_ms = self._observed_ms

    def _observation_time(self, offset):
        """Return the first time at which this router knew of the record at `offset`."""
        return self._known_ms if offset == self._known_offset else self._clock.now()

    def _limit_other_observed(self, request):
        """Apply what a record of this router, or of its earlier process, tells.

        The lease of any other had ended before it was appended.
        """
        if self._other_observed_ms is None:
            return
        since_ms = max(request.since_other_ms, self._duration_ms)
        latest_ms = self._clock.now() - since_ms
        self._other_observed_ms = min(self._other_observed_ms, latest_ms)

    def _report_change(self):
        """Log and count a lease that this router has acquired or lost."""
        if self.is_held and self.held_since_ms is None:
            self.held_since_ms = self._clock.now()
            self._counters.add("lease.taken")
            logger.info("took the lease {} at offset {}", self._name, self.offset)
        elif not self.is_held and self.held_since_ms is not None:
            self.held_since_ms = None
            self._counters.add("lease.lost")
            logger.info("no longer holds the lease {}", self._name)
