"""Writes snapshots to the log before its retention drops what is in force."""

from random import uniform

from mulberryhub.base.green import spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable
from mulberryhub.replica.records import STREAM, encode

MAX_RECORDS = 1_000
MAX_AGE = 3_600_000  # ms
SPREAD = 5_000  # ms
URGENT_SPREAD = 500  # ms

log = module_logger(__name__)


class SnapshotWriter:
    """Decides when a snapshot is due and appends it.

    Each router waits a random time first, so that mostly one of them writes;
    a second snapshot does no harm.
    """

    __slots__ = ("_log", "_clock", "_counters", "_in_force", "_due", "_is_writing")

    def __init__(self, log_client, clock, counters, in_force):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._in_force = in_force
        self._due = None
        self._is_writing = False

    def observe(self, page):
        """Note the bounds of the log, and write a snapshot when it is time."""
        now = self._clock.now()
        if self._is_writing or not self._is_needed(page):
            self._due = None
            return
        if self._due is None:
            is_urgent = page.oldest > self._covered
            self._due = now + uniform(0, URGENT_SPREAD if is_urgent else SPREAD)
        if now >= self._due:
            self._due = None
            self._is_writing = True
            spawn_n(self._write)

    @property
    def _covered(self):
        """Return the position from which the log and its snapshots rebuild all."""
        return max(0, self._in_force.replayer.snapshot_position)

    def _is_needed(self, page):
        in_force = self._in_force
        state = in_force.state
        if not in_force.is_caught_up or state.offset < 0 or not state.complete:
            return False
        covered = self._covered
        if page.oldest > covered or page.end - covered > MAX_RECORDS:
            return True
        if page.oldest > 0 and 2 * (covered - page.oldest) < page.end - page.oldest:
            return True
        covered_time = in_force.replayer.covered_time
        return covered_time is not None and self._age(covered_time) > MAX_AGE

    def _age(self, time):
        return self._clock.wall() - time

    def _write(self):
        snapshot = self._in_force.state.to_snapshot()
        try:
            self._log.append(STREAM, [encode(snapshot)])
        except LogUnavailable:
            self._counters.add("retry.config_snapshot")
            return
        finally:
            self._is_writing = False
        self._counters.add("config.snapshot_written")
        log.info("wrote a snapshot of the state before offset {}", snapshot.position)
