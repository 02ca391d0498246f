"""The streams that this router began, and batches of streams as log records."""

from collections import OrderedDict
from hashlib import blake2b

import msgspec

MAX_STREAM_COUNT = 20_000
DIGEST_BYTES = 8
MAX_RECORD_STREAM_COUNT = 1_000


class StreamBatch(msgspec.Struct, frozen=True, array_like=True):
    """Streams of a service that began on one version; `digests` are joined."""

    service: str
    software_version: str | None
    digests: bytes

    def has(self, digest):
        """Return whether the stream with `digest` is one of them."""
        index = self.digests.find(digest)
        while index >= 0 and index % DIGEST_BYTES:
            index = self.digests.find(digest, index + 1)
        return index >= 0


class BegunStream:
    """The versions on which streams with one digest began at `at` (ms).

    There is more than one version only if clients used an attempt id twice.
    """

    __slots__ = ("service", "software_versions", "at", "is_told")

    def __init__(self, service, at):
        self.service = service
        self.software_versions = set()
        self.at = at
        self.is_told = False


class BegunStreams:
    """The streams that began in the last lifetime, the oldest first."""

    __slots__ = ("_streams_by_digest",)

    def __init__(self):
        self._streams_by_digest = OrderedDict()

    def record(self, service, digest, software_version, now):
        """Record a stream that begins at `now` (ms)."""
        stream = self._streams_by_digest.get(digest)
        if stream is None:
            stream = self._streams_by_digest[digest] = BegunStream(service, now)
        stream.software_versions.add(software_version)
        stream.at = now
        stream.is_told = False
        self._streams_by_digest.move_to_end(digest)
        if len(self._streams_by_digest) > MAX_STREAM_COUNT:
            self._streams_by_digest.popitem(last=False)

    def software_versions(self, digest):
        """Return the versions on which the stream began, none if it is unknown."""
        stream = self._streams_by_digest.get(digest)
        return set() if stream is None else set(stream.software_versions)

    def forget_before(self, oldest):
        """Drop the streams that began before `oldest` (ms)."""
        streams = self._streams_by_digest
        while streams and next(iter(streams.values())).at < oldest:
            streams.popitem(last=False)

    def untold(self, services):
        """Return the digests of the streams of `services` that were not told."""
        return [
            digest
            for digest, stream in self._streams_by_digest.items()
            if not stream.is_told and stream.service in services
        ]

    def batches(self, digests):
        """Return the streams with `digests` as StreamBatches."""
        digests_by_key = {}
        for digest in digests:
            stream = self._streams_by_digest[digest]
            for version in stream.software_versions:
                key = stream.service, version
                digests_by_key.setdefault(key, []).append(digest)
        return [
            StreamBatch(*key, b"".join(items[first : first + MAX_RECORD_STREAM_COUNT]))
            for key, items in digests_by_key.items()
            for first in range(0, len(items), MAX_RECORD_STREAM_COUNT)
        ]

    def record_told(self, digests, is_told=True):
        """Record whether other routers can find the streams with `digests`."""
        for digest in digests:
            stream = self._streams_by_digest.get(digest)
            if stream is not None:
                stream.is_told = is_told

    def record_all_untold(self):
        """Record that what was told was lost."""
        for stream in self._streams_by_digest.values():
            stream.is_told = False


def digest_of(service, attempt_id):
    """Return the digest that identifies a stream in records."""
    text = f"{service}\0{attempt_id}".encode("utf-8", "surrogatepass")
    return blake2b(text, digest_size=DIGEST_BYTES).digest()
