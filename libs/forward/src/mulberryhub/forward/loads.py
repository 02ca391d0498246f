"""Work in flight by upstream, here and at the other routers."""

from mulberryhub.fleet.records import Use

REFRESH = 50  # ms for which the sum over other routers is kept
PATIENCE = 250  # ms of silence with a request waiting that nobody minds


class Load:
    """What this router has in flight at one upstream.

    `work` is ms of delay, `bound` counts requests that no other upstream can go on
    with, `silent_since` is the ms since which an answer is awaited and nothing came.
    """

    __slots__ = ("work", "running", "bound", "waiting", "silent_since")

    def __init__(self):
        self.work = 0
        self.running = 0
        self.bound = 0
        self.waiting = 0
        self.silent_since = None


class Loads:
    """Loads by upstream; `read_others()` returns the Use of other routers or None."""

    __slots__ = ("_loads_by_id", "_read_others", "_clock", "_others", "_read_at")

    def __init__(self, read_others, clock):
        self._loads_by_id = {}
        self._read_others = read_others
        self._clock = clock
        self._others = Use()
        self._read_at = None

    def started(self, id, work):
        """Note a request with its Work that is sent to the upstream `id`."""
        load = self._loads_by_id.get(id)
        if load is None:
            load = self._loads_by_id[id] = Load()
        load.work += work.before_answer
        load.running += 1
        load.bound += work.is_bound
        load.waiting += 1
        if load.silent_since is None:
            load.silent_since = self._clock.now()

    def answering(self, id, work):
        """Note that the answer of a request began."""
        load = self._loads_by_id[id]
        load.work += work.answering - work.before_answer
        load.waiting -= 1
        load.silent_since = self._clock.now() if load.waiting else None

    def ended(self, id, work, was_answering):
        """Note the end of a request."""
        load = self._loads_by_id[id]
        load.work -= work.answering if was_answering else work.before_answer
        load.running -= 1
        load.bound -= work.is_bound
        load.waiting -= not was_answering
        if not load.waiting:
            load.silent_since = None
        if not load.running:
            del self._loads_by_id[id]

    def own_work(self):
        """Return the work in flight from this router, by upstream."""
        return {id: round(load.work) for id, load in self._loads_by_id.items()}

    def own_bound(self):
        """Return the requests in flight that are bound to an upstream, by upstream."""
        return {id: load.bound for id, load in self._loads_by_id.items() if load.bound}

    def work(self, id):
        """Return the work in flight at an upstream from all routers, in ms."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.work + self._silence(load)
        return own + self._others.work_by_upstream.get(id, 0)

    def bound(self, id):
        """Return the requests of all routers that are bound to an upstream."""
        self._refresh()
        load = self._loads_by_id.get(id)
        own = 0 if load is None else load.bound
        return own + self._others.bound_by_upstream.get(id, 0)

    def _silence(self, load):
        """Return the ms for which an upstream has been silent beyond what is usual."""
        if load.silent_since is None:
            return 0
        return max(0, self._clock.now() - load.silent_since - PATIENCE)

    def _refresh(self):
        now = self._clock.now()
        if self._read_at is None or now - self._read_at >= REFRESH:
            self._read_at = now
            self._others = self._read_others() or Use()
