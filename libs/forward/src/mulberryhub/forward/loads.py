"""Requests in flight by upstream, from this router and the others."""

from mulberryhub.fleet.records import Usage

REFRESH_INTERVAL_MS = 50  # for reading the sum over other routers
SILENCE_GRACE_MS = 250  # of silence that does not count as load


class Load:
    """The requests from this router in flight at one upstream.

    `work` is the delay in ms that they cause other requests, `running` their number.
    `bound` counts those that no other upstream can continue, `waiting` those whose
    answer has not begun, `in_slots` those that occupy a configured slot or wait for one
    and `urgent` those among them with the highest priority.
    `silent_since` is the time (ms) since which requests wait and no answer began, or
    None if no request waits.
    """

    __slots__ = (
        "work",
        "running",
        "bound",
        "waiting",
        "in_slots",
        "urgent",
        "silent_since",
    )

    def __init__(self):
        self.work = 0
        self.running = 0
        self.bound = 0
        self.waiting = 0
        self.in_slots = 0
        self.urgent = 0
        self.silent_since = None


class Loads:
    """Loads by upstream.

    `read_others()` returns the Usage of the other routers, or None if not known.
    """

    __slots__ = ("_loads_by_id", "_read_others", "_clock", "_others", "_read_at")

    def __init__(self, read_others, clock):
        self._loads_by_id = {}
        self._read_others = read_others
        self._clock = clock
        self._others = Usage()
        self._read_at = None

    def record_sent(self, id, work):
        """Record that a request with `work` is sent to the upstream `id`."""
        load = self._loads_by_id.get(id)
        if load is None:
            load = self._loads_by_id[id] = Load()
        load.work += work.before_answer
        load.running += 1
        load.bound += work.is_bound
        load.in_slots += work.has_slot
        load.urgent += work.has_slot and work.is_urgent
        load.waiting += 1
        if load.silent_since is None:
            load.silent_since = self._clock.now()

    def record_answering(self, id, work):
        """Record that the answer of a request began."""
        load = self._loads_by_id[id]
        load.work += work.while_answering - work.before_answer
        load.waiting -= 1
        load.silent_since = self._clock.now() if load.waiting else None

    def record_ended(self, id, work, had_answer):
        """Record the end of a request."""
        load = self._loads_by_id[id]
        load.work -= work.while_answering if had_answer else work.before_answer
        load.running -= 1
        load.bound -= work.is_bound
        load.in_slots -= work.has_slot
        load.urgent -= work.has_slot and work.is_urgent
        load.waiting -= not had_answer
        if not load.waiting:
            load.silent_since = None
        if not load.running:
            del self._loads_by_id[id]

    def local_work_by_upstream(self):
        """Return the work in flight from this router in ms, by upstream."""
        return {id: round(load.work) for id, load in self._loads_by_id.items()}

    def local_bound_by_upstream(self):
        """Return the number of bound requests from this router, by upstream."""
        return {id: load.bound for id, load in self._loads_by_id.items() if load.bound}

    def local_requests_by_upstream(self):
        """Return the number of requests from this router at upstreams with slots."""
        loads = self._loads_by_id.items()
        return {id: load.in_slots for id, load in loads if load.in_slots}

    def local_urgent_by_upstream(self):
        """Return the number of the most urgent ones of these requests."""
        return {
            id: load.urgent for id, load in self._loads_by_id.items() if load.urgent
        }

    def request_count(self, id):
        """Return the number of requests of all routers at an upstream with slots."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.in_slots
        return own + self._others.requests_by_upstream.get(id, 0)

    def urgent_count(self, id):
        """Return the number of the most urgent ones of these requests."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.urgent
        return own + self._others.urgent_by_upstream.get(id, 0)

    def work(self, id):
        """Return the work in flight at an upstream from all routers in ms."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.work + self._excess_silence(load)
        return own + self._others.work_by_upstream.get(id, 0)

    def bound_count(self, id):
        """Return the number of bound requests of all routers at an upstream."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.bound
        return own + self._others.bound_by_upstream.get(id, 0)

    def _excess_silence(self, load):
        """Return the silence of an upstream in ms beyond the grace period."""
        if load.silent_since is None:
            return 0
        return max(0, self._clock.now() - load.silent_since - SILENCE_GRACE_MS)

    def _refresh(self):
        now = self._clock.now()
        if self._read_at is None or now - self._read_at >= REFRESH_INTERVAL_MS:
            self._read_at = now
            self._others = self._read_others() or Usage()
