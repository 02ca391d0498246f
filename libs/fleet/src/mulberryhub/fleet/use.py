"""The use that routers make of workspaces' rates and upstreams, summed over them."""

from mulberryhub.fleet.records import Use

FRESH = 2_000  # ms for which a router's last report counts


class Reported:
    """A use and the ms at which it was told."""

    __slots__ = ("use", "at")

    def __init__(self, use, at):
        self.use = use
        self.at = at


class UseTable:
    """The use of this router, of its subscribers, and of other data centres.

    `measure()` returns the Use of this router itself.
    """

    __slots__ = (
        "_measure",
        "_clock",
        "_data_centre",
        "_reported_by_name",
        "_told",
        "_by_centre",
    )

    def __init__(self, measure, data_centre, clock):
        self._measure = measure
        self._clock = clock
        self._data_centre = data_centre
        self._reported_by_name = {}
        self._told = None
        self._by_centre = {}

    def own(self):
        """Return the use of this router."""
        return self._measure()

    def note_report(self, name, use):
        """Take what the subscriber `name` reported."""
        self._reported_by_name[name] = Reported(use, self._clock.now())

    def forget(self, name):
        """Drop what the subscriber `name` reported."""
        self._reported_by_name.pop(name, None)

    def counted_for(self, name):
        """Return what counts for the subscriber `name`, or None."""
        reported = self._reported_by_name.get(name)
        return None if reported is None else reported.use

    def here(self):
        """Return the use of this router and its subscribers."""
        total = Use(routers=0)
        total.add(self.own())
        for reported in self._fresh(self._reported_by_name.values()):
            total.add(reported.use)
        return total

    def note_told(self, use, counted):
        """Take the use of this data centre that its publisher told.

        `counted` is the part of it that is this router's own.
        """
        self._told = Told(use, counted, self._clock.now())

    def note_elsewhere(self, data_centre, use):
        """Take the use of another data centre."""
        if data_centre != self._data_centre:
            self._by_centre[data_centre] = Reported(use, self._clock.now())

    def elsewhere(self):
        """Return the fresh use of other data centres by their name."""
        return {
            name: reported.use
            for name, reported in self._by_centre.items()
            if self._is_fresh(reported)
        }

    def others(self):
        """Return the use of all other routers, or None where it is not known."""
        total = Use(routers=0)
        if self._told is not None and self._is_fresh(self._told):
            total.add(self._told.without_own())
        else:
            for reported in self._fresh(self._reported_by_name.values()):
                total.add(reported.use)
        for reported in self._fresh(self._by_centre.values()):
            total.add(reported.use)
        return total if total.routers else None

    def _fresh(self, items):
        return [item for item in items if self._is_fresh(item)]

    def _is_fresh(self, item):
        return self._clock.now() - item.at <= FRESH


class Told:
    """The use of a data centre with this router's part in it."""

    __slots__ = ("use", "counted", "at")

    def __init__(self, use, counted, at):
        self.use = use
        self.counted = counted
        self.at = at

    def without_own(self):
        """Return the use of the other routers of the data centre."""
        if self.counted is None:
            return self.use
        rest = Use(routers=self.use.routers - self.counted.routers)
        rest.window_by_workspace = _less(self.use, self.counted, "window_by_workspace")
        rest.rate_by_workspace = _less(self.use, self.counted, "rate_by_workspace")
        rest.work_by_upstream = _less(self.use, self.counted, "work_by_upstream")
        return rest


def _less(use, counted, name):
    own = getattr(counted, name)
    return {
        key: max(0, value - own.get(key, 0))
        for key, value in getattr(use, name).items()
    }
