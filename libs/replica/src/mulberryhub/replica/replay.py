"""Replays the log into a state, also if the oldest records of the log have expired."""

from mulberryhub.replica.records import ConfigSnapshot, Outcome, decode_record
from mulberryhub.replica.state import ConfigState, state_from_snapshot


class ReplayedRecord:
    """A record with its offset and its Outcome."""

    __slots__ = ("offset", "record", "outcome")

    def __init__(self, offset, record, outcome):
        self.offset = offset
        self.record = record
        self.outcome = outcome


class Replayer:
    """The replayed state, and records buffered until a snapshot closes a gap.

    `next_offset` is the offset to read next. After a gap, records are buffered until
    a snapshot covers the lost ones; until then, the state from before the gap stays
    active. `snapshot_position` is the highest position of a snapshot read from the
    log, or -1. `covered_time` is the log's time in ms of that snapshot, or of the
    first record read if there is none, or None. `malformed_count` counts the records
    that could not be decoded and the snapshots with an impossible position.
    """

    __slots__ = (
        "state",
        "next_offset",
        "snapshot_position",
        "covered_time",
        "malformed_count",
        "_gap_end",
        "_buffered_records",
    )

    def __init__(self):
        self.state = ConfigState()
        self.next_offset = 0
        self.snapshot_position = -1
        self.covered_time = None
        self.malformed_count = 0
        self._gap_end = None
        self._buffered_records = []

    @property
    def has_gap(self):
        """Return whether records between the state and `next_offset` are missing."""
        return self._gap_end is not None

    def skip_to(self, oldest):
        """Continue at the offset `oldest`, since earlier records have expired."""
        self.next_offset = oldest
        self._buffered_records = []
        if oldest > self.state.position:
            self._gap_end = oldest

    def apply_record(self, offset, payload, time=0):
        """Apply the record at `offset`, appended at the log's `time` in ms.

        Return the ReplayedRecords: none while records are buffered, and several when
        a snapshot closes the gap.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        if self.covered_time is None:
            self.covered_time = time
        record = decode_record(payload)
        if record is None:
            self.malformed_count += 1
        if isinstance(record, ConfigSnapshot):
            return self._apply_log_snapshot(offset, record, time)
        if self.has_gap:
            self._buffered_records.append((offset, record))
            return []
        return [self._replay(offset, record)]

    def restore_snapshot(self, snapshot):
        """Replace the state by `snapshot` if it is newer.

        Return the ReplayedRecords that follow it, or None if it was not used.
        """
        if snapshot.position <= self.state.position:
            return None
        state = state_from_snapshot(snapshot)
        if state is None or state.offset < self.state.offset:
            return None
        self.state = state
        return self._close_gap()

    def _apply_log_snapshot(self, offset, snapshot, time):
        if snapshot.position > offset:
            self.malformed_count += 1
            return self._ignore_record(offset)
        if snapshot.position > self.snapshot_position:
            self.snapshot_position = snapshot.position
            self.covered_time = time
        if self.has_gap:
            self._buffered_records.append((offset, None))
            return self.restore_snapshot(snapshot) or []
        return self._ignore_record(offset)

    def _ignore_record(self, offset):
        if self.has_gap:
            self._buffered_records.append((offset, None))
            return []
        return [self._replay(offset, None)]

    def _close_gap(self):
        """Replay the buffered records if the state covers the gap."""
        if not self.has_gap:
            self.next_offset = max(self.next_offset, self.state.position)
            return []
        if self.state.position < self._gap_end:
            return []
        buffered = [
            item for item in self._buffered_records if item[0] >= self.state.position
        ]
        self._gap_end = None
        self._buffered_records = []
        self.next_offset = max(self.next_offset, self.state.position)
        return [self._replay(offset, record) for offset, record in buffered]

    def _replay(self, offset, record):
        if offset < self.state.position:
            return ReplayedRecord(offset, record, Outcome.IGNORED)
        return ReplayedRecord(offset, record, self.state.apply(offset, record))
