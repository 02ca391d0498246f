"""Work in flight by upstream, here and at the other routers."""

from collections import Counter

REFRESH = 100  # ms for which the sum over other routers is kept


class Loads:
    """Sums the work of requests in flight, in ms of delay that they cause.

    `read_others()` returns the Use of other routers or None.
    """

    __slots__ = (
        "_work_by_id",
        "_running_by_id",
        "_read_others",
        "_clock",
        "_others_by_id",
        "_read_at",
    )

    def __init__(self, read_others, clock):
        self._work_by_id = Counter()
        self._running_by_id = Counter()
        self._read_others = read_others
        self._clock = clock
        self._others_by_id = {}
        self._read_at = None

    def started(self, id, work):
        """Note a request with its Work that is sent to the upstream `id`."""
        self._work_by_id[id] += work.before_answer
        self._running_by_id[id] += 1

    def answering(self, id, work):
        """Note that the answer of a request began."""
        self._work_by_id[id] += work.answering - work.before_answer

    def ended(self, id, work, was_answering):
        """Note the end of a request."""
        ended = work.answering if was_answering else work.before_answer
        self._work_by_id[id] -= ended
        self._running_by_id[id] -= 1
        if self._running_by_id[id] <= 0:
            del self._running_by_id[id]
            del self._work_by_id[id]

    def own(self):
        """Return the work in flight from this router, by upstream."""
        return {id: round(work, 1) for id, work in self._work_by_id.items()}

    def work(self, id):
        """Return the work in flight at an upstream from all routers."""
        self._refresh()
        return self._work_by_id[id] + self._others_by_id.get(id, 0)

    def _refresh(self):
        now = self._clock.now()
        if self._read_at is None or now - self._read_at >= REFRESH:
            self._read_at = now
            others = self._read_others()
            self._others_by_id = {} if others is None else others.work_by_upstream
