"""Replays the log stream `members` into a table, also if old records have expired."""

import msgspec

from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import OffsetExpired
from mulberryhub.replica.member_records import (
    MEMBERS_STREAM,
    MembersSnapshot,
    SnapshotRequested,
    decode_record,
)
from mulberryhub.replica.member_table import MemberTable

log = module_logger("replica.member_stream")


class MemberStream:
    """Reads the stream; `table` is None while the members are unknown.

    `is_caught_up` tells whether the last read reached the end of the log.
    `snapshot_read_at` is when the newest snapshot was read, None if there is none, and
    `snapshot_offset` its offset. `snapshot_requested_at` is when the newest request for
    a snapshot was read, or None if there is none or a snapshot followed it. Both are
    times of `clock`, as the log's clock may be off against that of this VM.
    """

    __slots__ = (
        "table",
        "is_caught_up",
        "snapshot_read_at",
        "snapshot_offset",
        "snapshot_requested_at",
        "_client",
        "_clock",
        "_next_offset",
        "_buffered_records",
    )

    def __init__(self, client, clock):
        self.table = MemberTable()
        self.is_caught_up = False
        self.snapshot_read_at = None
        self.snapshot_offset = 0
        self.snapshot_requested_at = None
        self._client = client
        self._clock = clock
        self._next_offset = 0
        self._buffered_records = []

    def read(self, wait):
        """Read one page, waiting up to `wait` ms; return whether it had records.

        Raise LogUnavailable.
        """
        try:
            page = self._client.read(MEMBERS_STREAM, self._next_offset, wait=wait)
        except OffsetExpired as error:
            self._skip_to(error.oldest)
            return False
        for record in page.records:
            self._apply_record(record)
            self._next_offset = record.offset + 1
        self.is_caught_up = self._next_offset >= page.end
        return bool(page.records)

    def reset_to_empty(self):
        """Start with an empty table and apply the buffered records to it.

        This is for the case that no router has a snapshot of the expired members.
        """
        log.warning("no snapshot of the expired members; starting with no members")
        buffered, self._buffered_records = self._buffered_records, []
        self.table = MemberTable(
            buffered[0][0] - 1 if buffered else self._next_offset - 1
        )
        for offset, record in buffered:
            self.table.apply(offset, record)

    def _skip_to(self, oldest):
        log.warning("member records before offset {} have expired", oldest)
        self.table = None
        self.is_caught_up = False
        self._buffered_records = []
        self._next_offset = oldest

    def _apply_record(self, log_record):
        try:
            record = decode_record(log_record.payload)
        except msgspec.DecodeError:
            log.warning("malformed member record at offset {}", log_record.offset)
            return
        if isinstance(record, SnapshotRequested):
            self.snapshot_requested_at = self._clock.now()
        elif isinstance(record, MembersSnapshot):
            self._apply_snapshot(log_record, record)
        if self.table is None:
            self._buffered_records.append((log_record.offset, record))
        else:
            self.table.apply(log_record.offset, record)

    def _apply_snapshot(self, log_record, snapshot):
        self.snapshot_read_at = self._clock.now()
        self.snapshot_offset = log_record.offset
        self.snapshot_requested_at = None
        if self.table is not None:
            return
        first = (
            self._buffered_records[0][0]
            if self._buffered_records
            else log_record.offset
        )
        if snapshot.last_offset < first - 1:
            return
        self.table = MemberTable()
        self.table.restore(snapshot)
        for offset, record in self._buffered_records:
            self.table.apply(offset, record)
        self._buffered_records = []
