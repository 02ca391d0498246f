"""Requests in flight by upstream, here and at the other routers."""

from collections import Counter

REFRESH = 100  # ms for which the sum over other routers is kept


class Loads:
    """Counts requests in flight; `read_others()` returns the Use of other routers."""

    __slots__ = (
        "_running_by_id",
        "_read_others",
        "_clock",
        "_others_by_id",
        "_read_at",
    )

    def __init__(self, read_others, clock):
        self._running_by_id = Counter()
        self._read_others = read_others
        self._clock = clock
        self._others_by_id = {}
        self._read_at = None

    def started(self, id):
        """Note a request sent to the upstream `id`."""
        self._running_by_id[id] += 1

    def ended(self, id):
        """Note the end of a request."""
        self._running_by_id[id] -= 1
        if self._running_by_id[id] <= 0:
            del self._running_by_id[id]

    def own(self):
        """Return the requests in flight from this router, by upstream."""
        return dict(self._running_by_id)

    def running(self, id):
        """Return the requests in flight at an upstream from all routers."""
        self._refresh()
        return self._running_by_id[id] + self._others_by_id.get(id, 0)

    def _refresh(self):
        now = self._clock.now()
        if self._read_at is None or now - self._read_at >= REFRESH:
            self._read_at = now
            others = self._read_others()
            self._others_by_id = {} if others is None else others.running_by_upstream
