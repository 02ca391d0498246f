"""Remembers for a short time with which suspects requests were completed."""

from collections import OrderedDict

RECENTLY_SERVED_MS = 1_500  # in which what was served is above suspicion
MAX_SERVED_COUNT = 16_384


class RecentlyServed:
    """Fingerprints of requests and prompt parts that this router served recently."""

    __slots__ = ("_clock", "_served_at_by_fingerprint")

    def __init__(self, clock):
        self._clock = clock
        self._served_at_by_fingerprint = OrderedDict()

    def add(self, fingerprint):
        """Record that a request with `fingerprint` was served."""
        served = self._served_at_by_fingerprint
        served[fingerprint] = self._clock.now()
        served.move_to_end(fingerprint)
        self._drop_old()

    def has(self, fingerprint):
        """Return whether a request with `fingerprint` was served recently."""
        served_at = self._served_at_by_fingerprint.get(fingerprint)
        return served_at is not None and self._is_recent(served_at)

    def _drop_old(self):
        served = self._served_at_by_fingerprint
        while served:
            oldest = next(iter(served.values()))
            if self._is_recent(oldest) and len(served) <= MAX_SERVED_COUNT:
                return
            served.popitem(last=False)

    def _is_recent(self, served_at):
        return self._clock.now() - served_at <= RECENTLY_SERVED_MS
