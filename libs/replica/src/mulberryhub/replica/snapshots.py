"""Writes snapshots to the log before the records behind the active state expire."""

from random import uniform

from mulberryhub.base.green import spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable
from mulberryhub.replica.records import CONFIG_STREAM, encode_record

MAX_UNCOVERED_RECORD_COUNT = 1_000
MAX_SNAPSHOT_AGE_MS = 3_600_000
MAX_DELAY_MS = 5_000
MAX_URGENT_DELAY_MS = 500

log = module_logger(__name__)


class SnapshotWriter:
    """Decides when a snapshot is due and appends it.

    Each router waits a random time first, so that usually only one of them writes a
    snapshot. Additional snapshots are harmless.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_counters",
        "_active_config",
        "_known_covered_position",
        "_covered_since",
        "_due_time",
        "_is_writing",
    )

    def __init__(self, log_client, clock, counters, active_config):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._active_config = active_config
        self._known_covered_position = None
        self._covered_since = None
        self._due_time = None
        self._is_writing = False

    def observe(self, page):
        """Write a snapshot if the bounds of the log in `page` require one.

        The delay is short if the log has already dropped records that no snapshot
        covers.
        """
        now = self._clock.now()
        if self._is_writing or not self._is_needed(page):
            self._due_time = None
            return
        if self._due_time is None:
            is_urgent = page.oldest > self._covered_position
            self._due_time = now + uniform(
                0, MAX_URGENT_DELAY_MS if is_urgent else MAX_DELAY_MS
            )
        if now >= self._due_time:
            self._due_time = None
            self._is_writing = True
            spawn_n(self._write)

    @property
    def _covered_position(self):
        """Return the position up to which a snapshot in the log covers the records."""
        return max(0, self._active_config.replayer.snapshot_position)

    def _is_needed(self, page):
        """Return whether a snapshot is needed and this router can write it.

        It is needed if expired records are not covered, if more than
        MAX_UNCOVERED_RECORD_COUNT records are not covered, if less than half of the
        retained records are covered, or if the snapshot is too old.
        """
        active_config = self._active_config
        state = active_config.state
        if not active_config.is_caught_up or state.offset < 0 or not state.is_complete:
            return False
        covered = self._covered_position
        self._record_covered(covered)
        if page.oldest > covered or page.end - covered > MAX_UNCOVERED_RECORD_COUNT:
            return True
        if page.oldest > 0 and 2 * (covered - page.oldest) < page.end - page.oldest:
            return True
        return self._clock.now() - self._covered_since > MAX_SNAPSHOT_AGE_MS

    def _record_covered(self, covered):
        """Record since when the records before the position `covered` are covered.

        That is when this router read of it. Only at its first read the age is the
        difference to the log's time, which may call for one snapshot too many.
        """
        if covered == self._known_covered_position:
            return
        is_first = self._known_covered_position is None
        age = self._age_at_log() if is_first else 0
        self._known_covered_position = covered
        self._covered_since = self._clock.now() - age

    def _age_at_log(self):
        covered_time = self._active_config.replayer.covered_time
        return 0 if covered_time is None else max(0, self._clock.wall() - covered_time)

    def _write(self):
        snapshot = self._active_config.state.to_snapshot()
        try:
            self._log.append(CONFIG_STREAM, [encode_record(snapshot)])
        except LogUnavailable:
            self._counters.add("retry.config_snapshot")
            return
        finally:
            self._is_writing = False
        self._counters.add("config.snapshot_written")
        log.info("wrote a snapshot of the state before offset {}", snapshot.position)
