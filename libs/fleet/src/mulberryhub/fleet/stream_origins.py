"""Remembers at which software version of its service each stream began.

This router remembers the streams that it began itself.
"""

from collections import OrderedDict

MAX_STREAM_AGE_MS = 60_000  # after which no client takes a stream up
MAX_STREAM_COUNT = 20_000  # streams that are remembered


class OriginUnknown(Exception):
    """The software version that began a stream cannot be known."""


class StreamOrigin:
    """The software version that began a stream.

    `is_any` is set if all upstreams of the service have had one software version for as
    long as a stream lasts, so any of them may go on.
    """

    __slots__ = ("software_version", "is_any")

    def __init__(self, software_version=None, is_any=False):
        self.software_version = software_version
        self.is_any = is_any


class BegunStream:
    """The software version that began a stream at `at` (ms)."""

    __slots__ = ("software_version", "at")

    def __init__(self, software_version, at):
        self.software_version = software_version
        self.at = at


class StreamOrigins:
    """The software versions that began recent streams, and those that served lately."""

    __slots__ = (
        "_fleet_state",
        "_clock",
        "_streams_by_id",
        "_listed_at_by_service",
    )

    def __init__(self, fleet_state, clock):
        self._fleet_state = fleet_state
        self._clock = clock
        self._streams_by_id = OrderedDict()
        self._listed_at_by_service = {}
        fleet_state.on_change(self._record_listed)

    def record_begun(self, service, attempt_id, software_version):
        """Record that a client attempt gets its first event from `software_version`."""
        now = self._clock.now()
        self._streams_by_id[service, attempt_id] = BegunStream(software_version, now)
        self._streams_by_id.move_to_end((service, attempt_id))
        if len(self._streams_by_id) > MAX_STREAM_COUNT:
            self._streams_by_id.popitem(last=False)

    def find(self, service, attempt_id):
        """Return the StreamOrigin of the stream that `attempt_id` began.

        `attempt_id` is None if the client named none. Raise OriginUnknown if any of
        several software versions may have begun the stream.
        """
        if len(self._recent_versions(service)) <= 1:
            return StreamOrigin(is_any=True)
        stream = self._streams_by_id.get((service, attempt_id))
        if stream is None or self._clock.now() - stream.at > MAX_STREAM_AGE_MS:
            raise OriginUnknown
        return StreamOrigin(stream.software_version)

    def may_begin(self, service, software_version):
        """Return whether streams may begin at upstreams of `software_version`."""
        return True

    def _recent_versions(self, service):
        self._record_listed()
        oldest = self._clock.now() - MAX_STREAM_AGE_MS
        listed_at = self._listed_at_by_service.get(service, {})
        return [version for version, at in listed_at.items() if at >= oldest]

    def _record_listed(self):
        now = self._clock.now()
        for upstream in self._fleet_state.upstreams_by_id.values():
            listed_at = self._listed_at_by_service.setdefault(upstream.service, {})
            listed_at[upstream.software_version] = now
