"""Replays the log into a state, also where the log's oldest records have expired."""

from mulberryhub.replica.records import Outcome, Snapshot, decode
from mulberryhub.replica.state import State, from_snapshot


class Replayed:
    """A record with its offset and what it did."""

    __slots__ = ("offset", "record", "outcome")

    def __init__(self, offset, record, outcome):
        self.offset = offset
        self.record = record
        self.outcome = outcome


class Replayer:
    """The state, and the records that wait for a snapshot to build on.

    `start` is the offset to read next. After a gap, records are held until a
    snapshot covers what was lost; the state from before the gap stays in force.
    `snapshot_position` is the highest position of a snapshot seen in the log and
    `covered_time` the log's time in ms of that snapshot, or of the first record
    read; `malformed` counts the records that could not be read.
    """

    __slots__ = (
        "state",
        "start",
        "snapshot_position",
        "covered_time",
        "malformed",
        "_gap_end",
        "_held",
    )

    def __init__(self):
        self.state = State()
        self.start = 0
        self.snapshot_position = -1
        self.covered_time = None
        self.malformed = 0
        self._gap_end = None
        self._held = []

    @property
    def has_gap(self):
        """Return whether records are missing between the state and `start`."""
        return self._gap_end is not None

    def skip_to(self, oldest):
        """Note that the log no longer holds records before the offset `oldest`."""
        self.start = oldest
        self._held = []
        if oldest > self.state.position:
            self._gap_end = oldest

    def take(self, offset, payload, time=0):
        """Take in the record at `offset`, appended at the log's `time` in ms.

        Return the Replayed records, none while they wait for a snapshot.
        """
        if offset < self.start:
            return []
        self.start = offset + 1
        if self.covered_time is None:
            self.covered_time = time
        record = decode(payload)
        if record is None:
            self.malformed += 1
        if isinstance(record, Snapshot):
            return self._take_snapshot(offset, record, time)
        if self.has_gap:
            self._held.append((offset, record))
            return []
        return [self._replay(offset, record)]

    def adopt(self, snapshot):
        """Go on from a peer's snapshot if it is newer; return the Replayed ones.

        Return None where the snapshot was of no use.
        """
        if snapshot.position <= self.state.position:
            return None
        state = from_snapshot(snapshot)
        if state is None or state.offset < self.state.offset:
            return None
        self.state = state
        return self._close_gap()

    def _take_snapshot(self, offset, snapshot, time):
        if snapshot.position > offset:
            self.malformed += 1
            return self._pass(offset)
        if snapshot.position > self.snapshot_position:
            self.snapshot_position = snapshot.position
            self.covered_time = time
        if self.has_gap:
            self._held.append((offset, None))
            return self.adopt(snapshot) or []
        return self._pass(offset)

    def _pass(self, offset):
        if self.has_gap:
            self._held.append((offset, None))
            return []
        return [self._replay(offset, None)]

    def _close_gap(self):
        """Replay the held records if the state reaches past the gap."""
        if not self.has_gap:
            self.start = max(self.start, self.state.position)
            return []
        if self.state.position < self._gap_end:
            return []
        held = [item for item in self._held if item[0] >= self.state.position]
        self._gap_end = None
        self._held = []
        self.start = max(self.start, self.state.position)
        return [self._replay(offset, record) for offset, record in held]

    def _replay(self, offset, record):
        if offset < self.state.position:
            return Replayed(offset, record, Outcome.IGNORED)
        return Replayed(offset, record, self.state.replay(offset, record))
