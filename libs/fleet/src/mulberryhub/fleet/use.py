"""The use that routers make of workspaces' rates and upstreams, summed over them."""

from mulberryhub.fleet.floors import Floors
from mulberryhub.fleet.records import Use

FRESH = 2_000  # ms for which a router's last report counts


class Reported:
    """A use and the ms at which it was told."""

    __slots__ = ("use", "at")

    def __init__(self, use, at):
        self.use = use
        self.at = at


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
        return self.use.less(self.counted)


class UseTable:
    """The use of this router, of its subscribers, and of other data centres.

    `measure()` returns the Use of this router itself, `window` is the ms in which
    what was admitted counts.
    """

    __slots__ = (
        "_measure",
        "_clock",
        "_data_centre",
        "_window",
        "_reported_by_name",
        "_told",
        "_reported_by_data_centre",
        "_floors_by_data_centre",
    )

    def __init__(self, measure, data_centre, window, clock):
        self._measure = measure
        self._clock = clock
        self._data_centre = data_centre
        self._window = window
        self._reported_by_name = {}
        self._told = None
        self._reported_by_data_centre = {}
        self._floors_by_data_centre = {data_centre: Floors(window, clock)}

    def own(self):
        """Return the use of this router."""
        return self._measure()

    def note_report(self, name, use, remembered):
        """Take what the subscriber `name` reported.

        `remembered` is what it knows of the windows of this data centre.
        """
        self._reported_by_name[name] = Reported(use, self._clock.now())
        self._floors(self._data_centre).raised(remembered)

    def remembered(self):
        """Return what must count of the windows of this data centre."""
        return self._floors(self._data_centre).raised({})

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
        total.window_by_workspace = self._floors(self._data_centre).told(total)
        return total

    def note_told(self, use, counted):
        """Take the use of this data centre that its publisher told.

        `counted` is the part of it that is this router's own.
        """
        self._told = Told(use, counted, self._clock.now())
        self._floors(self._data_centre).told(use)

    def note_elsewhere(self, data_centre, use):
        """Take what is known of a data centre's use; of this one, only what must count.

        Others remember this data centre's use where its routers were restarted.
        """
        self._floors(data_centre).raised(use.window_by_workspace)
        if data_centre != self._data_centre:
            reported = Reported(use, self._clock.now())
            self._reported_by_data_centre[data_centre] = reported

    def elsewhere(self):
        """Return the use of other data centres by their name."""
        return {
            name: self.known_of(name)
            for name in self._floors_by_data_centre
            if name != self._data_centre
        }

    def known_of(self, data_centre):
        """Return the use of another data centre, and what must still count of it."""
        use = Use(routers=0)
        reported = self._reported_by_data_centre.get(data_centre)
        if reported is not None and self._is_fresh(reported):
            use.add(reported.use)
        use.window_by_workspace = self._floors(data_centre).told(use)
        return use

    def others(self):
        """Return the use of all other routers, or None where it is not known."""
        total = Use(routers=0)
        if self._told is not None and self._is_fresh(self._told):
            total.add(self._told.without_own())
        else:
            total.add(self.here().less(self.own()))
        for use in self.elsewhere().values():
            total.add(use)
        return total if total.routers else None

    def _floors(self, data_centre):
        floors = self._floors_by_data_centre.get(data_centre)
        if floors is None:
            floors = Floors(self._window, self._clock)
            self._floors_by_data_centre[data_centre] = floors
        return floors

    def _fresh(self, items):
        return [item for item in items if self._is_fresh(item)]

    def _is_fresh(self, item):
        return self._clock.now() - item.at <= FRESH
