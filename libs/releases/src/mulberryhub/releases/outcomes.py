"""Counts the outcomes of requests by route and version while a release is running."""

from enum import StrEnum
from urllib.parse import quote
from zlib import crc32

from mulberryhub.releases.histogram import BUCKET_COUNT, bucket_of

ROUTE_GROUPS = 16  # bounds the counts, however many routes a service has
SENT = "s"
RETRIED = "r"
FIRST_BYTE = "t"
PAUSE = "p"


class Result(StrEnum):
    """How a request at an upstream ended; the values are parts of the keys of counts.

    FAILED is an answer that says so, an invalid one or a time-out. LOST is a connection
    that the upstream refused or ended, as it does in a crash. A rejection that says
    that the request has not run is not an outcome, nor is a client that disconnected.
    """

    SERVED = "o"
    FAILED = "f"
    LOST = "l"


def route_group(route):
    """Return the number under which all routers count the requests of a route.

    Versions are drawn at random for each request, so that a group of several routes
    still compares like with like.
    """
    return crc32(route.encode()) % ROUTE_GROUPS


class OutcomeRecorder:
    """The outcomes of this router's own requests in each running release.

    Addresses the comparison over all routers: `counts` has additive values under keys
    that are the same at each router.
    """

    __slots__ = ("_release_by_service", "_counts_by_service")

    def __init__(self):
        self._release_by_service = {}
        self._counts_by_service = {}

    def reset(self, service, release):
        """Count the outcomes of `service` from zero, unless it is the same release.

        `release` is the offset of the order in the store. It is part of the keys, so
        that routers that have not yet read an order add nothing to its outcomes.
        """
        if self._release_by_service.get(service) != release:
            self._release_by_service[service] = release
            self._counts_by_service[service] = {}

    def stop(self, service):
        """Forget the outcomes of `service`, whose release has ended."""
        self._release_by_service.pop(service, None)
        self._counts_by_service.pop(service, None)

    def record_sent(self, service, route, version, is_retry=False):
        """Count a request that is sent to an upstream of `version` (None if unknown).

        A retry of a request that another upstream has received is marked by `is_retry`.
        """
        self._add(service, route, version, RETRIED if is_retry else SENT)

    def record_first_byte(self, service, route, version, time):
        """Count the time in ms from sending a request to its first byte, as it comes.

        For a request that ended without any, `time` is how long it was waited for.
        """
        self._add(service, route, version, f"{FIRST_BYTE}{bucket_of(time)}")

    def record(self, service, route, version, result, longest_pause=None):
        """Count how a request ended, and its longest pause between events in ms.

        The pause is None for a response with fewer than two events.
        """
        self._add(service, route, version, result)
        if longest_pause is not None:
            self._add(service, route, version, f"{PAUSE}{bucket_of(longest_pause)}")

    def counts(self):
        """Return all counts by key; it is empty while no release is running."""
        return {
            f"{quote(service, safe='')}/{self._release_by_service[service]}/{key}": count
            for service, counts in self._counts_by_service.items()
            for key, count in counts.items()
        }

    def _add(self, service, route, version, measure):
        counts = self._counts_by_service.get(service)
        if counts is not None:
            name = quote(version or "", safe="")
            key = f"{name}/{route_group(route):x}/{measure}"
            counts[key] = counts.get(key, 0) + 1


class Tally:
    """The outcomes of one version on the routes of one group.

    `sent` includes `retried`. `first_bytes` and `pauses` are counts by bucket.
    """

    __slots__ = ("sent", "retried", "served", "failed", "lost", "first_bytes", "pauses")

    def __init__(self):
        self.sent = 0
        self.retried = 0
        self.served = 0
        self.failed = 0
        self.lost = 0
        self.first_bytes = [0] * BUCKET_COUNT
        self.pauses = [0] * BUCKET_COUNT


class Outcomes:
    """The outcomes of one release: the target's, and those of all other versions.

    `target_by_group` and `old_by_group` are tallies by the number of a route group.
    """

    __slots__ = ("target_by_group", "old_by_group")

    def __init__(self):
        self.target_by_group = {}
        self.old_by_group = {}

    @classmethod
    def from_counts(cls, counts, service, target, release):
        """Read the sum of the counts of all routers; odd keys count for nothing."""
        raise NotImplementedError
