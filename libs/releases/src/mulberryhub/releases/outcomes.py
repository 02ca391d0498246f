"""Counts the outcomes of requests by route and version while a release is running."""

from base64 import b64encode
from enum import StrEnum
from zlib import crc32

from mulberryhub.releases.histogram import BUCKET_COUNT, bucket_of

# Bounds the counts, however many routes a service has; one hexadecimal digit of a key.
ROUTE_GROUPS = 16
SENT = "s"
RETRIED = "r"
FIRST_BYTE = "t"
PAUSE = "p"


FIELD_BY_MEASURE = {
    SENT: "sent",
    RETRIED: "retried",
    "o": "served",
    "f": "failed",
    "l": "lost",
}


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


def release_tag(service, release):
    """Return the start of the keys of a release; short, as each report has all keys."""
    return b64encode(crc32(f"{release}/{service}".encode()).to_bytes(4)[:3]).decode()


class OutcomeRecorder:
    """The outcomes of this router's own requests in each running release.

    Addresses the comparison over all routers: `counts` has additive values under keys
    that are the same at each router.
    """

    __slots__ = ("_release_by_service", "_counts_by_service")

    def __init__(self):
        self._release_by_service = {}
        self._counts_by_service = {}

    def reset(self, service, release=0):
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
        totals = {}
        for service, counts in self._counts_by_service.items():
            tag = release_tag(service, self._release_by_service[service])
            totals |= {tag + key: count for key, count in counts.items()}
        return totals

    def _add(self, service, route, version, measure):
        counts = self._counts_by_service.get(service)
        if counts is not None:
            key = f"{route_group(route):x}{measure}/{version or ''}"
            counts[key] = counts.get(key, 0) + 1


class Tally:
    """The outcomes of one version on the routes of one group; sums and differences.

    `sent` does not include `retried`, the retries of requests that were sent elsewhere.
    `first_bytes` and `pauses` are histograms.
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

    @property
    def ended(self):
        """Return the number of requests that ended."""
        return self.served + self.failed + self.lost

    def count(self, measure, count):
        """Add `count` under the measure of a key; raise ValueError if it is unknown."""
        if measure in FIELD_BY_MEASURE:
            field = FIELD_BY_MEASURE[measure]
            setattr(self, field, getattr(self, field) + count)
            return
        histogram, bucket = self._histogram(measure[:1]), int(measure[1:])
        if not 0 <= bucket < BUCKET_COUNT:
            raise ValueError(f"no bucket {bucket}")
        histogram[bucket] += count

    def add(self, other, sign=1):
        """Add the outcomes of another tally, or subtract them if `sign` is -1.

        No count falls below zero: a router that ended takes its counts with it.
        """
        for field in FIELD_BY_MEASURE.values():
            total = getattr(self, field) + sign * getattr(other, field)
            setattr(self, field, max(0, total))
        self.first_bytes = _sum(self.first_bytes, other.first_bytes, sign)
        self.pauses = _sum(self.pauses, other.pauses, sign)

    def minus(self, other):
        """Return the outcomes since those of `other`."""
        rest = Tally()
        rest.add(self)
        rest.add(other, -1)
        return rest

    def _histogram(self, letter):
        if letter == FIRST_BYTE:
            return self.first_bytes
        if letter == PAUSE:
            return self.pauses
        raise ValueError(f"unknown measure {letter!r}")


def _sum(counts, others, sign):
    return [max(0, a + sign * b) for a, b in zip(counts, others)]


class Outcomes:
    """The outcomes of one release: the target's, and those of all other versions.

    `target_by_group` and `old_by_group` are tallies by the number of a route group.
    """

    __slots__ = ("target_by_group", "old_by_group")

    def __init__(self):
        self.target_by_group = {}
        self.old_by_group = {}

    @classmethod
    def from_counts(cls, counts, service, target, release=0):
        """Read the sum of the counts of all routers; skip keys that are invalid."""
        outcomes = cls()
        tag = release_tag(service, release)
        for key, count in counts.items():
            if key.startswith(tag):
                try:
                    outcomes._read(key.removeprefix(tag), int(count), target)
                except ValueError:
                    continue
        return outcomes

    @property
    def groups(self):
        """Return the numbers of the route groups that have outcomes."""
        return self.target_by_group.keys() | self.old_by_group.keys()

    def target(self, group):
        """Return the tally of the target on a route group."""
        return self.target_by_group.get(group) or Tally()

    def old(self, group):
        """Return the tally of all other versions on a route group."""
        return self.old_by_group.get(group) or Tally()

    @property
    def exposed(self):
        """Return the number of requests that the target has received."""
        return sum(t.sent + t.retried for t in self.target_by_group.values())

    @property
    def received(self):
        """Return the number of requests of the service, each counted once."""
        tallies = [*self.target_by_group.values(), *self.old_by_group.values()]
        return sum(tally.sent for tally in tallies)

    @property
    def target_ended(self):
        """Return the number of requests that ended at the target."""
        return sum(tally.ended for tally in self.target_by_group.values())

    def _read(self, key, count, target_name):
        measure, separator, version = key[1:].partition("/")
        if not separator:
            raise ValueError("no version")
        number = int(key[0], ROUTE_GROUPS)
        by_group = self.target_by_group if version == target_name else self.old_by_group
        by_group.setdefault(number, Tally()).count(measure, count)
