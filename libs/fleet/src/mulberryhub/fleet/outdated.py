"""Tells records of upstreams that a reverted store lists as they were before.

The copy may hold an upstream that was removed since, or as ready though it is draining.
Its offsets are given out again, so they do not tell an old record from a new one. An
upstream that is alive writes its record again and again, so a second record is new.
"""

from mulberryhub.fleet.records import UpstreamState
from mulberryhub.fleet.store import era_of


class OutdatedFilter:
    """Finds records that may be older than what is known of their upstream."""

    __slots__ = ("_started_by_removed_id", "_first_offset_by_id")

    def __init__(self):
        self._started_by_removed_id = {}
        self._first_offset_by_id = {}

    def record_removal(self, removal, upstream):
        """Record which incarnation, if any is known, a Removal concerns."""
        if upstream is not None:
            self._started_by_removed_id[removal.id] = upstream.started

    def forget(self, id):
        """Drop what is known of an upstream that was removed long ago."""
        self._started_by_removed_id.pop(id, None)
        self._first_offset_by_id.pop(id, None)

    def is_outdated(self, upstream, known, removal):
        """Return whether a record may be older than `known` or `removal`.

        Either may be None. Only the first record of a new era that contradicts what is
        known from an earlier one may be.
        """
        if not self._contradicts(upstream, known, removal):
            self._first_offset_by_id.pop(upstream.id, None)
            return False
        first_offset = self._first_offset_by_id.get(upstream.id)
        if first_offset is None or era_of(first_offset) < era_of(upstream.offset):
            self._first_offset_by_id[upstream.id] = upstream.offset
            return True
        return upstream.offset <= first_offset

    def _contradicts(self, upstream, known, removal):
        if known is not None:
            return era_of(upstream.offset) > era_of(known.offset) and (
                upstream.started < known.started
                or (
                    upstream.started == known.started and _undoes_drain(known, upstream)
                )
            )
        if removal is None:
            return False
        removed_started = self._started_by_removed_id.get(upstream.id, upstream.started)
        return (
            era_of(upstream.offset) > era_of(removal.offset)
            and upstream.started <= removed_started
        )


def _undoes_drain(known, upstream):
    return (
        known.state is UpstreamState.DRAINING and upstream.state is UpstreamState.READY
    )
