"""Replays the log's stream `members` into a table, from any offset it still keeps."""

import msgspec

from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import OffsetExpired
from mulberryhub.replica.member_records import (
    STREAM,
    Snapshot,
    SnapshotWanted,
    decode_record,
)
from mulberryhub.replica.member_table import MemberTable

log = module_logger("replica.member_stream")


class MemberStream:
    """Reads the stream; `table` is None until the members are known.

    `snapshot_time` is the log's time in ms of the newest snapshot read, and
    `wanted_time` that of the newest request for one without a snapshot since.
    """

    __slots__ = (
        "table",
        "caught_up",
        "snapshot_time",
        "snapshot_offset",
        "wanted_time",
        "_client",
        "_next",
        "_skipped",
    )

    def __init__(self, client):
        self.table = MemberTable()
        self.caught_up = False
        self.snapshot_time = None
        self.snapshot_offset = 0
        self.wanted_time = None
        self._client = client
        self._next = 0
        self._skipped = []

    def read(self, wait):
        """Read one page, waiting up to `wait` ms; return True when any came.

        Raise LogUnavailable.
        """
        try:
            page = self._client.read(STREAM, self._next, wait=wait)
        except OffsetExpired as error:
            self._skip_to(error.oldest)
            return False
        for record in page.records:
            self._take(record)
            self._next = record.offset + 1
        self.caught_up = self._next >= page.end
        return bool(page.records)

    def start_afresh(self):
        """Take the members as unknown to everyone: begin with none."""
        log.warning("no router holds the expired members; beginning with none")
        skipped, self._skipped = self._skipped, []
        self.table = MemberTable(skipped[0][0] - 1 if skipped else self._next - 1)
        for offset, record in skipped:
            self.table.apply(offset, record)

    def _skip_to(self, oldest):
        log.warning("records of members before offset {} have expired", oldest)
        self.table = None
        self.caught_up = False
        self._skipped = []
        self._next = oldest

    def _take(self, record):
        try:
            value = decode_record(record.payload)
        except msgspec.DecodeError:
            log.warning("record {} of members cannot be read", record.offset)
            return
        if isinstance(value, SnapshotWanted):
            self.wanted_time = record.time
        elif isinstance(value, Snapshot):
            self._take_snapshot(record, value)
        if self.table is None:
            self._skipped.append((record.offset, value))
        else:
            self.table.apply(record.offset, value)

    def _take_snapshot(self, record, snapshot):
        self.snapshot_time = record.time
        self.snapshot_offset = record.offset
        self.wanted_time = None
        if self.table is not None:
            return
        first = self._skipped[0][0] if self._skipped else record.offset
        if snapshot.through < first - 1:
            return
        self.table = MemberTable()
        self.table.restore(snapshot)
        for offset, value in self._skipped:
            self.table.apply(offset, value)
        self._skipped = []
