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
        "_due_time",
        "_is_writing",
    )

    def __init__(self, log_client, clock, counters, active_config):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._active_config = active_config
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
        if page.oldest > covered or page.end - covered > MAX_UNCOVERED_RECORD_COUNT:
            return True
        if page.oldest > 0 and 2 * (covered - page.oldest) < page.end - page.oldest:
            return True
        covered_time = active_config.replayer.covered_time
        return (
            covered_time is not None and self._age(covered_time) > MAX_SNAPSHOT_AGE_MS
        )

    def _age(self, time):
        return self._clock.wall() - time

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
