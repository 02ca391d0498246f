"""A lease kept in the platform's log, whose offset serves as a fencing number.

A record takes the lease if it names the offset right before its own: then nothing
came between what its writer had read and what it wrote. Others wait until a whole
duration has passed since they saw the last such record, and its writer counts the
duration from before the append. So two routers never hold the lease at once,
unless their clocks drift apart by more than MARGIN in one duration.
"""

from secrets import token_bytes

import msgspec

from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable, OffsetExpired

DURATION = 6_000  # ms
MARGIN = 1_000  # ms
NONCE_BYTES = 12
BEYOND_END = 2**53  # offset
PAGE = 100  # records

log_lines = module_logger(__name__)


class LeaseRecord(msgspec.Struct, frozen=True):
    """A request for the lease; `after` is the last offset its writer had read."""

    holder: str
    nonce: bytes
    after: int


class Lease:
    """The lease in the stream `name`, as the router `holder` sees it.

    Durations are in ms; others wait for `margin` beyond `duration`. `offset` is that
    of the last record that took the lease, -1 where none is known.
    `held_since` is the time in ms at which this router began to hold it.
    """

    __slots__ = (
        "offset",
        "held_since",
        "_log",
        "_clock",
        "_counters",
        "_name",
        "_holder",
        "_duration",
        "_margin",
        "_position",
        "_seen",
        "_seen_other",
        "_nonce",
        "_started_by_nonce",
        "_end",
    )

    def __init__(
        self, log, clock, counters, name, holder, duration=DURATION, margin=MARGIN
    ):
        self.offset = -1
        self.held_since = None
        self._log = log
        self._clock = clock
        self._counters = counters
        self._name = name
        self._holder = holder
        self._duration = duration
        self._margin = margin
        self._position = None
        self._seen = None
        self._seen_other = None
        self._nonce = None
        self._started_by_nonce = {}
        self._end = 0

    @property
    def is_held(self):
        """Return whether this router holds the lease now."""
        return self._nonce in self._started_by_nonce and self._clock.now() < self._end

    @property
    def was_mine(self):
        """Return whether the last record that took the lease is this router's."""
        return (
            self._seen is not None
            and self._nonce is not None
            and (self._seen_other is None or self._seen_other < self._seen)
        )

    def other_ended(self, pause):
        """Return whether `pause` ms have passed since another's lease ended."""
        if self._seen_other is None:
            return True
        return self._clock.now() - self._seen_other >= self._duration + pause

    def step(self):
        """Read the log, then renew the lease or take it where it is free."""
        try:
            self._read()
            if self.was_mine or self._is_free():
                self._take()
                self._read()
        except LogUnavailable:
            self._counters.add("retry.lease")
        self._note_change()

    def step_reading(self):
        """Read the log without taking the lease, so that its last record is known."""
        try:
            self._read()
        except LogUnavailable:
            self._counters.add("retry.lease")

    def _is_free(self):
        return self._clock.now() - self._seen > self._duration + self._margin

    def _take(self):
        nonce = token_bytes(NONCE_BYTES)
        self._started_by_nonce[nonce] = self._clock.now()
        record = LeaseRecord(self._holder, nonce, self._position - 1)
        self._log.append(self._name, [msgspec.msgpack.encode(record)])

    def _read(self):
        if self._position is None:
            end = self._log.read(self._name, BEYOND_END, 1).end
            self._position = max(0, end - PAGE)
            self._seen = self._clock.now()
        while True:
            try:
                page = self._log.read(self._name, self._position, PAGE)
            except OffsetExpired as error:
                self._position = error.oldest
                continue
            for record in page.records:
                self._replay(record)
            if self._position >= page.end:
                return

    def _replay(self, record):
        self._position = record.offset + 1
        try:
            lease = msgspec.msgpack.decode(record.payload, type=LeaseRecord)
        except msgspec.DecodeError:
            return
        if lease.after != record.offset - 1:
            return
        self.offset = record.offset
        self._nonce = lease.nonce
        self._seen = self._clock.now()
        started = self._started_by_nonce.get(lease.nonce)
        self._started_by_nonce = {} if started is None else {lease.nonce: started}
        self._end = 0 if started is None else started + self._duration
        if lease.holder != self._holder:
            self._seen_other = self._clock.now()

    def _note_change(self):
        if self.is_held and self.held_since is None:
            self.held_since = self._clock.now()
            self._counters.add("lease.taken")
            log_lines.info("took the lease {} at offset {}", self._name, self.offset)
        elif not self.is_held and self.held_since is not None:
            self.held_since = None
            self._counters.add("lease.lost")
            log_lines.info("no longer holds the lease {}", self._name)
